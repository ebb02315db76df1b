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
import org.dahliapass.decisions.routing.AnswerPeriod;
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
    private static final Duration ANSWER_INTERVAL = Duration.ofMillis(400);
    private static final Set<String> TARGETS = Set.of("i-1", "i-2", "i-3", "i-4");

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
    public void removedEntryIsEvictedIfTheStoreAnsweredAnotherVm() {
        run(mFollower::onStoreResponse);
        run(() -> mFollower.onStoreFailure(new IllegalStateException("unavailable")));
        mClock.advance(GRACE);
        run(
                () -> {
                    long now = mLoop.nowMillis();
                    mFollower.onStoreAnswered(new AnswerPeriod(now - GRACE.toMillis(), now, false));
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                });
        assertEquals(targetsAfter(Duration.ZERO), Set.of("i-2"));
    }

    /** Guards against a removed target that stays because it is known late that it must go. */
    @Test
    public void retainedEntryIsEvictedOnceTheStoreIsKnownToHaveAnswered() {
        run(mFollower::onStoreResponse);
        mClock.advance(GRACE);
        run(
                () -> {
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(
                            List.of(new StoreEvent.Removed("servers/i-1", 9)), UpdateOrigin.NONE);
                });
        assertEquals(targetsAfter(Duration.ZERO), Set.of("i-1", "i-2"));
        run(
                () -> {
                    long now = mLoop.nowMillis();
                    mFollower.onStoreAnswered(new AnswerPeriod(now - GRACE.toMillis(), now, false));
                });
        assertEquals(targetsAfter(Duration.ofMillis(1)), Set.of("i-2"));
    }

    /** Guards against targets that get requests after they have left together. */
    @Test
    public void targetsThatLeaveTogetherAreEvictedAtOnce() {
        run(this::addTargets);
        run(mFollower::onStoreResponse);
        for (long waited = 0; waited < GRACE.toMillis(); waited += ANSWER_INTERVAL.toMillis()) {
            mClock.advance(ANSWER_INTERVAL);
            run(mFollower::onStoreResponse);
        }
        run(() -> mFollower.applyEvents(removals(), UpdateOrigin.NONE));
        assertEquals(targetsAfter(Duration.ZERO), Set.of());
    }

    /** Guards against a service without targets after an outage in which no call failed. */
    @Test
    public void targetsThatExpireInASilentOutageAreKept() {
        run(this::addTargets);
        run(mFollower::onStoreResponse);
        mClock.advance(GRACE);
        run(
                () -> {
                    mFollower.onStoreResponse();
                    mFollower.applyEvents(removals(), UpdateOrigin.NONE);
                });
        assertEquals(targetsAfter(Duration.ZERO), TARGETS);
    }

    /** Guards against a service without targets after an outage of the store. */
    @Test
    public void expiredEntryIsKeptAfterAnOutage() {
        run(mFollower::onStoreResponse);
        run(() -> mFollower.onStoreFailure(new IllegalStateException("unavailable")));
        mClock.advance(GRACE);
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

    private void addTargets() {
        mFollower.applySnapshot(
                TARGETS.stream().map(StoreFollowerTest::item).toList(), UpdateOrigin.NONE);
    }

    private static List<StoreEvent> removals() {
        List<StoreEvent> removals = new ArrayList<>();
        TARGETS.forEach(name -> removals.add(new StoreEvent.Removed("servers/" + name, 9)));
        return removals;
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
