package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.decisions.traffic.ThreadOverloadDetector;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Tells once a second what this VM carries and which of its resources is short.
 *
 * <p>A VM whose processor is short shows as threads that run their timers late; one whose link is
 * short shows as answers that take long from their end to their last byte written, while the timers
 * run on time. Without both, a request that its caller gave up looks the same in either case.
 */
final class LoadReporter implements KernelService {
    /** The name under which the kernel holds the load. */
    static final String NAME = "vm-load";

    /** A line a second for each VM that has anything to tell. */
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** Short enough to see a line before it costs callers their objective; only under load. */
    private static final long CHECK_MILLIS = 100;

    /** A thread that runs its timers later than this is told of without any traffic. */
    private static final long LATE_MILLIS = 100;

    private static final long NOT_DUE = Long.MAX_VALUE;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final ThreadOverloadDetector mTrafficLateness = new ThreadOverloadDetector();
    private final AtomicLong mRequests = new AtomicLong();
    private final AtomicLong mInFlight = new AtomicLong();
    private final AtomicLong mCallerBytes = new AtomicLong();
    private final AtomicLong mFollowerBytes = new AtomicLong();
    private final AtomicLong mSlowestDeliveryMillis = new AtomicLong();
    private final AtomicLong mTrafficLateMillis = new AtomicLong();
    private PeriodicTask mTelling;
    private long mControlDueMillis = NOT_DUE;
    private boolean mChecking;

    LoadReporter(Clock clock, EntryMetrics metrics, EventLog log) {
        mClock = clock;
        mMetrics = metrics;
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        ControlLoop loop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mTelling = new PeriodicTask(loop, Duration.ZERO, this::tell);
        mTelling.wake();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Counts a request of a caller until the last byte of its answer was written; traffic thread
     * only.
     */
    void onRequest(ServerCall call) {
        mRequests.incrementAndGet();
        mInFlight.incrementAndGet();
        mTelling.wake();
        if (!mChecking) {
            mChecking = true;
            planCheck(call.loop());
        }
        call.onDelivered(this::onDelivered);
    }

    /** Returns whether a caller still waits for its answer; any thread may call this. */
    boolean hasRequestsInFlight() {
        return mInFlight.get() > 0;
    }

    /**
     * Returns whether requests that come now wait longer and longer before they are read; traffic
     * thread only.
     */
    boolean isFallingBehind() {
        return mTrafficLateness.isOverloaded(mClock.millis());
    }

    private void planCheck(EventLoop traffic) {
        long now = mClock.millis();
        mTrafficLateness.onScheduled(now + CHECK_MILLIS, now);
        ScheduledFuture<?> unused =
                traffic.schedule(() -> check(traffic), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(EventLoop traffic) {
        long late = mTrafficLateness.onRun(mClock.millis());
        mTrafficLateMillis.accumulateAndGet(late, Math::max);
        if (mInFlight.get() > 0) {
            planCheck(traffic);
            return;
        }
        mTrafficLateness.onIdle();
        mChecking = false;
    }

    private void onDelivered(ServerCall.Delivery delivery) {
        mInFlight.decrementAndGet();
        if (!delivery.whole()) {
            return;
        }
        mCallerBytes.addAndGet(delivery.bytes());
        mSlowestDeliveryMillis.accumulateAndGet(delivery.millis(), Math::max);
        mMetrics.onDelivered(delivery.millis());
    }

    /** Counts bytes of the copy of the store that were handed to a VM which follows this one. */
    void onMirrorSent(long bytes) {
        mFollowerBytes.addAndGet(bytes);
        mTelling.wake();
        mMetrics.onStoreCopyBytes(bytes);
    }

    private Optional<Duration> tell() {
        long now = mClock.millis();
        long control = Math.max(0, now - mControlDueMillis);
        mControlDueMillis = now + PERIOD.toMillis();
        long traffic = mTrafficLateMillis.getAndSet(0);
        long requests = mRequests.getAndSet(0);
        long callerBytes = mCallerBytes.getAndSet(0);
        long followerBytes = mFollowerBytes.getAndSet(0);
        long delivery = mSlowestDeliveryMillis.getAndSet(0);
        mMetrics.onThreadDelay("control", control);
        mMetrics.onThreadDelay("traffic", traffic);
        boolean isLate = Math.max(control, traffic) >= LATE_MILLIS;
        boolean isIdle = requests + mInFlight.get() + followerBytes == 0;
        if (isIdle && !isLate) {
            mControlDueMillis = NOT_DUE;
            return Optional.empty();
        }
        mLog.write(
                EventLog.Kind.LOAD,
                "load",
                line ->
                        line.put("requests", requests)
                                .put("in_flight", mInFlight.get())
                                .put("caller_bytes", callerBytes)
                                .put("follower_bytes", followerBytes)
                                .put("slowest_delivery_ms", delivery)
                                .put("control_late_ms", control)
                                .put("traffic_late_ms", traffic));
        return Optional.of(PERIOD);
    }
}
