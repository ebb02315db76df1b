package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.decisions.routing.RegistrationPacing;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.standins.SigningTargetStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link StoreFollower}. */
public final class StoreFollowerTest {
    private static final Duration GRACE = Duration.ofMillis(2_100);

    private ManualClock mClock;
    private Kernel mKernel;
    private ControlLoop mLoop;
    private StoreFollower mFollower;

    @BeforeMethod
    public void start() {
        mClock = new ManualClock(Instant.ofEpochSecond(1_000));
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

    /**
     * Guards against an expired entry that is kept for longer than its grace period, so that
     * requests are sent to a target that has left.
     */
    @Test
    public void expiredEntryIsEvictedAtTheEndOfItsGracePeriod() {
        run(
                () -> {
                    mFollower.onStoreFailure(new IllegalStateException("unavailable"));
                    mFollower.onStoreResponse();
                });
        Duration remaining = Duration.ofMillis(300);
        mClock.advance(GRACE.minus(remaining));
        run(
                () ->
                        mFollower.applyEvents(
                                List.of(new StoreEvent.Removed("servers/i-1", 9)),
                                UpdateOrigin.NONE));
        mClock.advance(remaining);
        // The control loop runs overdue tasks in the order of their due times.
        assertEquals(targetsAfter(GRACE.minus(remaining)), Set.of("i-2"));
    }

    /** A listener that throws must not keep other listeners or later updates from being handled. */
    @Test
    public void listenerThatThrowsDoesNotStopUpdates() {
        List<Throwable> failures = new ArrayList<>();
        AtomicInteger updates = new AtomicInteger();
        mFollower.setFailureListener(failures::add);
        mFollower.addChangeListener(
                () -> {
                    throw new IllegalStateException("test");
                });
        mFollower.addChangeListener(updates::incrementAndGet);
        // On the control thread, where the listener is not called again meanwhile.
        run(
                () -> {
                    for (String instance : List.of("i-3", "i-4")) {
                        mFollower.applyEvents(
                                List.of(new StoreEvent.Written(item(instance))), UpdateOrigin.NONE);
                    }
                    assertEquals(updates.get(), 2);
                    assertEquals(failures.size(), 2);
                });
    }

    /**
     * Guards against keeping a removed target because the store was unavailable to this VM only.
     */
    @Test
    public void removedEntryIsEvictedIfNoUpdatesWereMissed() {
        run(() -> mFollower.onStoreFailure(new IllegalStateException("unavailable")));
        mClock.advance(GRACE);
        mFollower.setUpToDateSince(() -> 0);
        run(
                () -> {
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                });
        assertEquals(targetsAfter(Duration.ZERO), Set.of("i-2"));
    }

    /**
     * Guards against a service without targets after an outage of the store in which updates were
     * missed.
     */
    @Test
    public void expiredEntryIsKeptIfUpdatesWereMissed() {
        run(() -> mFollower.onStoreFailure(new IllegalStateException("unavailable")));
        mClock.advance(GRACE);
        mFollower.setUpToDateSince(mClock::millis);
        run(
                () -> {
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                });
        assertEquals(targetsAfter(Duration.ZERO), Set.of("i-1", "i-2"));
    }

    private Set<String> targetsAfter(Duration delay) {
        CompletableFuture<Set<String>> targets = new CompletableFuture<>();
        mLoop.schedule(delay, () -> targets.complete(Set.copyOf(mFollower.targets().keySet())));
        return targets.join();
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
