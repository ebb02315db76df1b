package org.dahliapass.gateway;

import com.linecorp.armeria.common.logging.RequestLog;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.entry.EntryMetrics;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;

/**
 * Tells once a second what this VM carries and which of its resources is short.
 *
 * <p>A VM whose processor is short shows as threads that run their timers late; one whose link is
 * short shows as answers that take long from their end to their last byte written, while the timers
 * run on time. Without both, a request that its caller gave up looks the same in either case.
 */
final class VmLoad implements KernelService {
    /** The name under which the kernel holds the load. */
    static final String NAME = "vm-load";

    /** Short enough to see a pause of a request's length; four wake-ups a second cost little. */
    private static final Duration STEP = Duration.ofMillis(250);

    /** A line a second for each VM that has anything to tell. */
    private static final int STEPS_PER_LINE = 4;

    /** A thread that runs its timers later than this is told of without any traffic. */
    private static final long LATE_MILLIS = 100;

    private final Clock mClock;
    private final EventLoopGroup mLoops;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final AtomicLong mRequests = new AtomicLong();
    private final AtomicLong mInFlight = new AtomicLong();
    private final AtomicLong mCallerBytes = new AtomicLong();
    private final AtomicLong mFollowerBytes = new AtomicLong();
    private final AtomicLong mSlowestDeliveryMillis = new AtomicLong();
    private final AtomicLong mTrafficLateMillis = new AtomicLong();
    private ControlLoop mControl;
    private long mControlDueMillis;
    private long mControlLateMillis;
    private int mSteps;

    VmLoad(Clock clock, EventLoopGroup loops, EntryMetrics metrics, EventLog log) {
        mClock = clock;
        mLoops = loops;
        mMetrics = metrics;
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mControl = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mControlDueMillis = mClock.millis() + STEP.toMillis();
        mControl.every(STEP, this::step);
        return CompletableFuture.completedFuture(null);
    }

    /** Counts a request of a caller until the last byte of its answer was written. */
    void onRequest(ServiceRequestContext context) {
        mRequests.incrementAndGet();
        mInFlight.incrementAndGet();
        Futures.whenDone(
                context.log().whenComplete(),
                (log, failure) -> {
                    mInFlight.decrementAndGet();
                    if (failure == null) {
                        onDelivered(log);
                    }
                });
    }

    private void onDelivered(RequestLog log) {
        long nanos = log.responseEndTimeNanos() - log.responseStartTimeNanos();
        long millis = TimeUnit.NANOSECONDS.toMillis(nanos);
        mCallerBytes.addAndGet(log.requestLength() + log.responseLength());
        mSlowestDeliveryMillis.accumulateAndGet(millis, Math::max);
        mMetrics.onDelivered(millis);
    }

    /** Counts bytes of the copy of the store that were handed to a VM which follows this one. */
    void onCopied(long bytes) {
        mFollowerBytes.addAndGet(bytes);
        mMetrics.onCopied(bytes);
    }

    private void step() {
        long now = mClock.millis();
        mControlLateMillis = Math.max(mControlLateMillis, now - mControlDueMillis);
        mControlDueMillis = now + STEP.toMillis();
        EventLoop traffic = mLoops.next();
        traffic.execute(() -> noteTraffic(now));
        mSteps++;
        if (mSteps % STEPS_PER_LINE == 0) {
            tell();
        }
    }

    /** Notes how long a task waited for the traffic thread. */
    private void noteTraffic(long postedMillis) {
        mTrafficLateMillis.accumulateAndGet(mClock.millis() - postedMillis, Math::max);
    }

    private void tell() {
        long control = mControlLateMillis;
        long traffic = mTrafficLateMillis.getAndSet(0);
        long requests = mRequests.getAndSet(0);
        long callerBytes = mCallerBytes.getAndSet(0);
        long followerBytes = mFollowerBytes.getAndSet(0);
        long delivery = mSlowestDeliveryMillis.getAndSet(0);
        mControlLateMillis = 0;
        mMetrics.onLate("control", control);
        mMetrics.onLate("traffic", traffic);
        boolean isLate = Math.max(control, traffic) >= LATE_MILLIS;
        if (requests + mInFlight.get() + followerBytes == 0 && !isLate) {
            return;
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
    }
}
