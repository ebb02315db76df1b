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

/** Tests of one accept, step by step. */
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

    /** Answers until the machine is about to swap the head. */
    private static StoreAction.Swap untilHeadSwap(InMemoryStore store, AcceptProtocol accept) {
        StoreAction action = accept.start();
        while (!(action instanceof StoreAction.Swap swap && swap.key().equals(StoreKey.HEAD))) {
            action = store.answer(accept, action);
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

    // Two operators edit the same template. Both start from change 1; one accepts first. The other
    // must be told which change came first, and nothing of hers may be in the order.
    @Test
    public void secondOfTwoOperatorsIsToldWhatStands() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("himal", "op-1", 0));
        AcceptProtocol slow = accept("himal", "op-slow", 1);
        StoreAction swap = untilHeadSwap(store, slow);
        store.run(accept("himal", "op-fast", 1));
        AcceptOutcome outcome = store.finish(slow, swap);
        assertEquals(((Conflict) outcome).current().orElseThrow().operationId(), "op-fast");
        assertFalse(store.head().findByOperation("op-slow").isPresent());
    }

    @Test
    public void changeOfAnotherCustomerIsNoConflict() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol slow = accept("himal", "op-slow", 0);
        StoreAction swap = untilHeadSwap(store, slow);
        store.run(accept("suva", "op-other", 0));
        assertEquals(store.finish(slow, swap), new Accepted(2));
    }

    // The base is checked against a change that left the ring long ago: the pointer must tell it.
    @Test
    public void baseThatLeftTheRingIsFoundInThePointer() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("himal", "op-1", 0));
        for (int change = 0; change < 5; change++) {
            store.run(accept("suva", "filler-" + change, change == 0 ? 0 : change + 1));
        }
        assertFalse(store.head().newestOf("himal").isPresent());
        assertTrue(store.run(accept("himal", "op-stale", 0)) instanceof Conflict);
        assertEquals(store.run(accept("himal", "op-2", 1)), new Accepted(7));
    }

    // The store writes the change, the answer is lost, and by the time the operator's command reads
    // again the change has left the ring. It must still be told "accepted", with its number.
    @Test
    public void lostAnswerIsFoundInThePointer() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        store.apply(untilHeadSwap(store, accept));
        for (int change = 0; change < 5; change++) {
            store.run(accept("suva", "filler-" + change, change == 0 ? 0 : change + 1));
        }
        StoreAction next = accept.onSwap(SwapOutcome.UNKNOWN);
        assertEquals(store.finish(accept, next), new Accepted(1));
    }

    // The answer is lost, and so many later changes of the customer follow that nobody keeps the
    // operation's id any more. The command must say "unknown" then, and never "conflict".
    @Test
    public void forgottenOperationIsUnknown() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        store.apply(untilHeadSwap(store, accept));
        for (int number = 1; number <= Pointer.MAX_OPERATIONS + CAPACITY + 1; number++) {
            store.run(accept("himal", "later-" + number, number));
        }
        StoreAction next = accept.onSwap(SwapOutcome.UNKNOWN);
        assertTrue(store.finish(accept, next) instanceof Unknown);
    }

    // The answer is lost because the write is stuck in the network. The command reads the head,
    // does
    // not find its change, and sends it again; then the stuck write arrives too. One change
    // results.
    @Test
    public void lateWriteDoesNotAcceptTwice() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap stuck = untilHeadSwap(store, accept);
        assertEquals(store.finish(accept, accept.onSwap(SwapOutcome.UNKNOWN)), new Accepted(1));
        assertEquals(store.apply(stuck), SwapOutcome.CONFLICT);
        assertEquals(store.head().number(), 1);
    }

    @Test
    public void storeAwayBeforeTheSwapIsNotAccepted() {
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction action = accept.start();
        while (!(action instanceof StoreAction.Finish)) {
            action = accept.onReadFailed();
        }
        assertTrue(((StoreAction.Finish) action).outcome() instanceof NotAccepted);
    }

    // The store goes away right after the swap was sent. The command gives up with "unknown"; the
    // operator resolves it when the store is back, and the stuck write arrives only after that.
    @Test
    public void unknownResolvedToNoStaysNo() {
        InMemoryStore store = new InMemoryStore();
        store.run(accept("suva", "op-0", 0));
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap stuck = untilHeadSwap(store, accept);
        StoreAction action = accept.onSwap(SwapOutcome.UNKNOWN);
        while (!(action instanceof StoreAction.Finish)) {
            action = accept.onReadFailed();
        }
        Unknown unknown = (Unknown) ((StoreAction.Finish) action).outcome();
        assertEquals(unknown.handle(), new OperationHandle("op-1", "himal", 3, 2));
        OperationHandle handle = OperationHandle.parse(unknown.handle().toString()).orElseThrow();
        assertTrue(store.run(new ResolveProtocol(handle)) instanceof NotAccepted);
        assertEquals(store.apply(stuck), SwapOutcome.CONFLICT);
    }

    @Test
    public void unknownThatTookEffectResolvesToYes() {
        InMemoryStore store = new InMemoryStore();
        AcceptProtocol accept = accept("himal", "op-1", 0);
        StoreAction.Swap swap = untilHeadSwap(store, accept);
        OperationHandle handle = accept.handle();
        store.apply(swap);
        assertEquals(store.run(new ResolveProtocol(handle)), new Accepted(1));
    }

    // A writer reads the ring, pauses for long, and then writes its pointer for an old change of a
    // customer whose newer change has left the ring meanwhile. The pointer must not go back.
    @Test
    public void pointerNeverGoesBack() {
        ChangeRecord old = request("himal", "op-1", 0).toRecord(1);
        ChangeRecord recent = request("himal", "op-2", 1).toRecord(2);
        Pointer merged = Pointer.of(old).mergedWith(Optional.of(Pointer.of(recent)));
        assertEquals(merged.newest(), recent);
        assertEquals(merged.numberOf("op-1"), Optional.of(1L));
    }
}
