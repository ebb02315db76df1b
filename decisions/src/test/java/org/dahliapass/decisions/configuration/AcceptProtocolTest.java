package org.dahliapass.decisions.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.configuration.AcceptOutcome.Accepted;
import org.dahliapass.decisions.configuration.AcceptOutcome.Conflict;
import org.dahliapass.decisions.configuration.AcceptOutcome.NotAccepted;
import org.dahliapass.decisions.configuration.AcceptOutcome.Unknown;
import org.dahliapass.model.ServiceId;
import org.testng.annotations.Test;

/** Tests for {@link AcceptProtocol} and {@link ResolveProtocol}. */
public final class AcceptProtocolTest {
    private static final int CAPACITY = 2;
    private static final ServiceId DESK = new ServiceId("himal", "desk");

    private static AcceptRequest request(String customer, String operation, long base) {
        return new AcceptRequest(
                customer,
                new TemplateText("text of " + operation),
                List.of(new ServiceUse(DESK, 3)),
                operation,
                "Asha",
                base);
    }

    private static AcceptProtocol accept(String customer, String operation, long base) {
        return new AcceptProtocol(request(customer, operation, base), CAPACITY);
    }

    /** Performs the actions before the swap of the head, and returns that swap. */
    private static StoreAction.Swap untilHeadSwap(InMemoryStore store, AcceptProtocol accept) {
        StoreAction action = accept.start();
        while (!(action instanceof StoreAction.Swap swap && swap.key().equals(StoreKey.HEAD))) {
            action = store.perform(accept, action);
        }
        return (StoreAction.Swap) action;
    }

    @Test
    public void firstChangeIsAcceptedWithItsTextAndIndex() {
        InMemoryStore store = new InMemoryStore();
        assertEquals(store.run(accept("himal", "op-1", 0)), new Accepted(1));
        ChangeRecord record = store.head().newestOf("himal").orElseThrow();
        assertEquals(
                store.item(StoreKey.text("himal", record.digest())),
                Optional.of(new TemplateText("text of op-1")));
        assertEquals(store.item(StoreKey.customers(DESK)), Optional.of(CustomerIndex.of("himal")));
    }

    @Test
    public void secondOfTwoChangesConflictsWithFirst() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("himal", "op-1", 0));
        AcceptProtocol slow = accept("himal", "op-slow", 1);
        StoreAction swap = untilHeadSwap(store, slow);
        store.run(accept("himal", "op-fast", 1));
        AcceptOutcome outcome = store.runFrom(slow, swap);
        assertEquals(((Conflict) outcome).current().orElseThrow().operationId(), "op-fast");
        assertFalse(store.head().findByOperation("op-slow").isPresent());
    }

    @Test
    public void changeOfAnotherCustomerDoesNotConflict() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol slow = accept("himal", "op-slow", 0);
        StoreAction swap = untilHeadSwap(store, slow);
        store.run(accept("suva", "op-other", 0));
        assertEquals(store.runFrom(slow, swap), new Accepted(2));
    }

    @Test
    public void baseEvictedFromRingIsFoundInPointer() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("himal", "op-1", 0));
        for (int change = 0; change < 5; change++) {
            store.run(accept("suva", "filler-" + change, change == 0 ? 0 : change + 1));
        }
        assertFalse(store.head().newestOf("himal").isPresent());
        assertTrue(store.run(accept("himal", "op-stale", 0)) instanceof Conflict);
        assertEquals(store.run(accept("himal", "op-2", 1)), new Accepted(7));
    }

    @Test
    public void lostSwapResponseIsResolvedByPointer() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        store.apply(untilHeadSwap(store, accept));
        for (int change = 0; change < 5; change++) {
            store.run(accept("suva", "filler-" + change, change == 0 ? 0 : change + 1));
        }
        StoreAction next = accept.onSwap(SwapOutcome.UNKNOWN);
        assertEquals(store.runFrom(accept, next), new Accepted(1));
    }

    // The pointer has evicted the operation, so a conflict must not be reported.
    @Test
    public void evictedOperationIsUnknown() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        store.apply(untilHeadSwap(store, accept));
        for (int number = 1; number <= Pointer.MAX_OPERATIONS + CAPACITY + 1; number++) {
            store.run(accept("himal", "later-" + number, number));
        }
        StoreAction next = accept.onSwap(SwapOutcome.UNKNOWN);
        assertTrue(store.runFrom(accept, next) instanceof Unknown);
    }

    @Test
    public void delayedSwapIsNotAcceptedTwice() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap delayed = untilHeadSwap(store, accept);
        assertEquals(store.runFrom(accept, accept.onSwap(SwapOutcome.UNKNOWN)), new Accepted(1));
        assertEquals(store.apply(delayed), SwapOutcome.CONFLICT);
        assertEquals(store.head().number(), 1);
    }

    @Test
    public void unavailableStoreBeforeSwapIsNotAccepted() {
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction action = accept.start();
        while (!(action instanceof StoreAction.Finish)) {
            action = accept.onReadFailed();
        }
        assertTrue(((StoreAction.Finish) action).outcome() instanceof NotAccepted);
    }

    @Test
    public void delayedSwapFailsAfterResolvedAsNotAccepted() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("suva", "op-0", 0));
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap delayed = untilHeadSwap(store, accept);
        StoreAction action = accept.onSwap(SwapOutcome.UNKNOWN);
        while (!(action instanceof StoreAction.Finish)) {
            action = accept.onReadFailed();
        }
        Unknown unknown = (Unknown) ((StoreAction.Finish) action).outcome();
        assertEquals(unknown.handle(), new OperationHandle("op-1", "himal", 3, 2));
        OperationHandle handle = OperationHandle.parse(unknown.handle().toString()).orElseThrow();
        assertTrue(store.run(new ResolveProtocol(handle)) instanceof NotAccepted);
        assertEquals(store.apply(delayed), SwapOutcome.CONFLICT);
    }

    @Test
    public void swapThatTookEffectIsResolvedAsAccepted() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap swap = untilHeadSwap(store, accept);
        OperationHandle handle = accept.handle();
        store.apply(swap);
        assertEquals(store.run(new ResolveProtocol(handle)), new Accepted(1));
    }

    // A slow writer must not replace a newer change by an older one.
    @Test
    public void pointerKeepsNewestChange() {
        ChangeRecord old = request("himal", "op-1", 0).toRecord(1);
        ChangeRecord recent = request("himal", "op-2", 1).toRecord(2);
        Pointer merged = Pointer.of(old).mergedWith(Optional.of(Pointer.of(recent)));
        assertEquals(merged.newest(), recent);
        assertEquals(merged.numberOf("op-1"), Optional.of(1L));
    }
}
