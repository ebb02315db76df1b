package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.decisions.routing.RegistrationPacing;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.standins.SigningTargetStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an update of the store whose handling throws is applied again. */
public final class StoreRetryTest {
    private static final Duration GRACE = Duration.ofMillis(2_100);

    private FailingClock mClock;
    private Kernel mKernel;
    private ControlLoop mLoop;
    private StoreFollower mFollower;

    @BeforeMethod
    public void start() {
        mClock = new FailingClock();
        mLoop = new ControlLoop(mClock);
        EventLog log = new EventLog(mClock, "vm", new PrintStream(OutputStream.nullOutputStream()));
        mFollower = new StoreFollower(2, new RegistrationPacing(400), log);
        mKernel = new Kernel();
        mKernel.register(ControlLoop.NAME, mLoop).register(StoreFollower.NAME, mFollower);
        mKernel.start().join();
        run(() -> mFollower.applySnapshot(List.of(item("i-1"), item("i-2")), UpdateOrigin.NONE));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mKernel.stop().join();
    }

    /** Guards against a registered target that gets no requests until the next snapshot. */
    @Test
    public void registrationThatThrewIsAppliedAgain() {
        mClock.armIn(StoreFollower.class, "applyTarget");
        run(
                () ->
                        mFollower.applyEvents(
                                List.of(new StoreEvent.Written(item("i-3"))), UpdateOrigin.NONE));
        assertFalse(mClock.isArmedIn());
        GatewayFixture.await(() -> targets().equals(Set.of("i-1", "i-2", "i-3")));
    }

    /** Guards against a removed target that gets requests until the next snapshot. */
    @Test
    public void removalThatThrewIsAppliedAgain() {
        mClock.armIn(StoreFollower.class, "remove");
        run(
                () ->
                        mFollower.applyEvents(
                                List.of(new StoreEvent.Removed("servers/i-1", 9)),
                                UpdateOrigin.NONE));
        assertFalse(mClock.isArmedIn());
        GatewayFixture.await(() -> targets().equals(Set.of("i-2")));
    }

    /** Guards against an expired target that is kept because its eviction threw. */
    @Test
    public void evictionThatThrewIsRepeated() {
        run(
                () -> {
                    mFollower.onStoreFailure(new IllegalStateException("unavailable"));
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                });
        assertEquals(targets(), Set.of("i-1", "i-2"));
        mClock.armIn(StoreFollower.class, "evictExpired");
        mClock.advance(GRACE);
        GatewayFixture.await(() -> targets().equals(Set.of("i-2")));
        assertFalse(mClock.isArmedIn());
    }

    /** Guards against a listener that misses a change, because it threw. */
    @Test
    public void listenerThatThrewIsCalledAgain() {
        AtomicInteger calls = new AtomicInteger();
        mFollower.addChangeListener(() -> throwAtFirst(calls));
        run(
                () ->
                        mFollower.applyEvents(
                                List.of(new StoreEvent.Written(item("i-3"))), UpdateOrigin.NONE));
        GatewayFixture.await(() -> calls.get() == 2);
    }

    /** Guards against an outdated change that is applied after a newer one of the same entry. */
    @Test
    public void changeThatThrewIsNotAppliedAfterANewerOne() {
        AtomicInteger calls = new AtomicInteger();
        mFollower.addChangeListener(() -> throwAtFirst(calls));
        mClock.armIn(StoreFollower.class, "remove");
        run(
                () -> {
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                    mFollower.applyEvents(
                            List.of(
                                    new StoreEvent.Written(item("i-1")),
                                    new StoreEvent.Written(item("i-3"))),
                            UpdateOrigin.NONE);
                });
        assertFalse(mClock.isArmedIn());
        // The listener is called again with all that is to be applied again.
        GatewayFixture.await(() -> calls.get() == 2);
        assertEquals(targets(), Set.of("i-1", "i-2", "i-3"));
    }

    private static void throwAtFirst(AtomicInteger calls) {
        if (calls.incrementAndGet() == 1) {
            throw new IllegalStateException("thrown by the test");
        }
    }

    private Set<String> targets() {
        return mLoop.submit(() -> Set.copyOf(mFollower.targets().keySet())).join();
    }

    private void run(Runnable task) {
        mLoop.submit(
                        () -> {
                            task.run();
                            return null;
                        })
                .join();
    }

    private static StoredItem item(String instance) {
        try (SigningTargetStandIn target = new SigningTargetStandIn(instance)) {
            byte[] entry = target.registration("x", "ready").getBytes(StandardCharsets.UTF_8);
            return StoredItem.of(target.key(), entry, 1);
        }
    }
}
