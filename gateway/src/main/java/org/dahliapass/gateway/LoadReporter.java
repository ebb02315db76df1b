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
import org.dahliapass.http.PollMonitor;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Reports once a second the load of this VM and which of its resources is short.
 *
 * <p>A shortage of processor time shows as late timers. A shortage of network bandwidth shows as
 * responses that take long to be written although timers run on time.
 */
final class LoadReporter implements KernelService {
    /** The service name in the kernel. */
    static final String NAME = "vm-load";

    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    /**
     * The interval of the timer that measures the delay of the traffic thread; runs under load
     * only.
     */
    private static final long CHECK_MILLIS = 100;

    /** The timer delay that is reported even without traffic. */
    private static final long REPORTED_DELAY_MILLIS = 100;

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final PollMonitor mMonitor;
    private final TargetReachability mReachability;
    private final UnexpectedFailures mFailures;
    private final RequestMemory mMemory;
    private final ThreadOverloadDetector mTrafficOverload = new ThreadOverloadDetector();
    private final AtomicLong mRequests = new AtomicLong();
    private final AtomicLong mInFlight = new AtomicLong();
    private final AtomicLong mCallerBytes = new AtomicLong();
    private final AtomicLong mFollowerBytes = new AtomicLong();
    private final AtomicLong mSlowestDeliveryMillis = new AtomicLong();
    private final AtomicLong mTrafficDelayMillis = new AtomicLong();
    private final AtomicLong mLongestPollIntervalMillis = new AtomicLong();
    private volatile Optional<StopAccount> mStopAccount = Optional.empty();
    private PeriodicTask mReportTask;
    private long mControlDueMillis = NOT_SCHEDULED;
    private boolean mChecking;

    LoadReporter(Clock clock, EntryMetrics metrics, EventLog log, TargetConnections connections) {
        mClock = clock;
        mMetrics = metrics;
        mLog = log;
        mMonitor = connections.monitor();
        mReachability = connections.reachability();
        mFailures = connections.failures();
        mMemory = connections.memory();
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        ControlLoop loop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mReportTask = new PeriodicTask(loop, Duration.ZERO, this::report);
        mReportTask.wake();
        return CompletableFuture.completedFuture(null);
    }

    /** Counts a request as in flight until its response is written; traffic thread only. */
    void onRequest(ServerCall call) {
        mRequests.incrementAndGet();
        mInFlight.incrementAndGet();
        call.onDelivered(delivery -> onDelivered(call, delivery));
        mReportTask.wake();
        if (!mChecking) {
            mChecking = true;
            scheduleCheck(call.loop());
        }
    }

    /** Returns the number of requests in flight; any thread may call this. */
    long requestsInFlight() {
        return mInFlight.get();
    }

    /** Returns whether requests are in flight; any thread may call this. */
    boolean hasRequestsInFlight() {
        return requestsInFlight() > 0;
    }

    /** Accounts for the responses from now on, since the VM stops; any thread may call this. */
    void onStop() {
        mStopAccount = Optional.of(new StopAccount(mClock, mLog));
    }

    /** Adds to a line of the log how the responses have ended since the stop began. */
    void describeStop(JsonObject line) {
        line.put("in_flight", requestsInFlight());
        mStopAccount.ifPresent(account -> account.describe(line));
    }

    /**
     * Returns whether the delay of the traffic thread keeps growing, so that new requests wait ever
     * longer before they are read; traffic thread only.
     */
    boolean isFallingBehind() {
        return mTrafficOverload.isOverloaded(mClock.millis());
    }

    private void scheduleCheck(EventLoop loop) {
        long now = mClock.millis();
        mTrafficOverload.onScheduled(now + CHECK_MILLIS, now);
        ScheduledFuture<?> unused =
                loop.schedule(() -> check(loop), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(EventLoop loop) {
        mFailures.run(UnexpectedFailures.Step.TIMER, this::measure);
        mFailures.run(UnexpectedFailures.Step.TIMER, mReachability::onTick);
        mFailures.run(UnexpectedFailures.Step.TIMER, mMemory::check);
        if (mInFlight.get() > 0) {
            scheduleCheck(loop);
            return;
        }
        mTrafficOverload.onIdle();
        mChecking = false;
    }

    private void measure() {
        long delayMillis = mTrafficOverload.onRun(mClock.millis());
        mTrafficDelayMillis.accumulateAndGet(delayMillis, Math::max);
        mLongestPollIntervalMillis.accumulateAndGet(
                mMonitor.takeLongestIntervalMillis(), Math::max);
    }

    private void onDelivered(ServerCall call, ServerCall.Delivery delivery) {
        mInFlight.decrementAndGet();
        mFailures.run(
                UnexpectedFailures.Step.END,
                () -> mStopAccount.ifPresent(account -> account.onDelivered(call, delivery)));
        if (delivery.whole()) {
            mFailures.run(UnexpectedFailures.Step.END, () -> recordDelivery(delivery));
        }
    }

    private void recordDelivery(ServerCall.Delivery delivery) {
        mCallerBytes.addAndGet(delivery.bytes());
        mSlowestDeliveryMillis.accumulateAndGet(delivery.millis(), Math::max);
        mMetrics.onDelivered(delivery.millis());
    }

    /** Records bytes of the store mirror that were sent to a follower. */
    void onMirrorSent(long bytes) {
        mFollowerBytes.addAndGet(bytes);
        mReportTask.wake();
        mMetrics.onStoreCopyBytes(bytes);
    }

    private Optional<Duration> report() {
        long now = mClock.millis();
        long controlDelay = Math.max(0, now - mControlDueMillis);
        mControlDueMillis = now + REPORT_PERIOD.toMillis();
        long trafficDelay = mTrafficDelayMillis.getAndSet(0);
        long pollInterval = mLongestPollIntervalMillis.getAndSet(0);
        long requests = mRequests.getAndSet(0);
        long callerBytes = mCallerBytes.getAndSet(0);
        long followerBytes = mFollowerBytes.getAndSet(0);
        long slowestDelivery = mSlowestDeliveryMillis.getAndSet(0);
        mMetrics.onThreadDelay("control", controlDelay);
        mMetrics.onThreadDelay("traffic", trafficDelay);
        mMetrics.onPollInterval(pollInterval);
        boolean hasLateTimers = Math.max(controlDelay, trafficDelay) >= REPORTED_DELAY_MILLIS;
        boolean isIdle = requests + mInFlight.get() + followerBytes == 0;
        if (isIdle && !hasLateTimers) {
            mControlDueMillis = NOT_SCHEDULED;
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
                                .put("slowest_delivery_ms", slowestDelivery)
                                .put("control_late_ms", controlDelay)
                                .put("traffic_late_ms", trafficDelay)
                                .put("poll_interval_ms", pollInterval));
        return Optional.of(REPORT_PERIOD);
    }
}
