package org.dahliapass.lab.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dahliapass.decisions.limits.FleetRateLimiter;
import org.dahliapass.decisions.limits.LimitMessage;
import org.dahliapass.decisions.limits.LimitSharing;
import org.dahliapass.decisions.limits.LimitTolerance;
import org.dahliapass.lab.policy.EventQueue;
import org.dahliapass.model.routing.RateLimit;

/** Simulates one customer at the VMs of a fleet on a virtual clock. */
final class LimitSimulation {
    /** By how much a customer's limit may be exceeded. */
    static final LimitTolerance CUSTOMER_TOLERANCE = new LimitTolerance(0.1, 20, 5);

    /** By how much a target's limit may be exceeded. */
    static final LimitTolerance TARGET_TOLERANCE = new LimitTolerance(0.5, 5, 4);

    /** The time until a change of the configuration binds, beside one window, in seconds. */
    private static final double APPLY_SECONDS = 2.5;

    /** The time after which a VM that is cut off knows it, in seconds. */
    private static final double ISOLATION_SECONDS = 2.5;

    private static final String CUSTOMER = "customer";
    private static final long POLL_MICROS = 100_000;
    private static final double MICROS = 1e6;
    private static final double MESSAGE_LOSS = 0.02;

    private final LimitScenario mScenario;
    private final LimitSharing mSharing;
    private final int mVms;
    private final RateLimit mLimit;
    private final LimitTolerance mTolerance;
    private final SplittableRandom mRandom;
    private final EventQueue mQueue = new EventQueue();
    private final FleetRateLimiter[] mLimiters;
    private final boolean[] mWasRunning;
    private final List<Double> mAdmittedSeconds = new ArrayList<>();
    private final RateLimitReference mReference = new RateLimitReference();
    private long mMessages;

    LimitSimulation(
            LimitScenario scenario,
            LimitSharing sharing,
            int vms,
            RateLimit limit,
            LimitTolerance tolerance,
            long seed) {
        mTolerance = tolerance;
        mScenario = scenario;
        mSharing = sharing;
        mVms = vms;
        mLimit = limit;
        mRandom = new SplittableRandom(seed);
        mLimiters = new FleetRateLimiter[vms];
        mWasRunning = new boolean[vms];
    }

    LimitResult run() {
        for (int vm = 0; vm < mVms; vm++) {
            int number = vm;
            mQueue.schedule(mRandom.nextLong(POLL_MICROS), () -> poll(number));
            scheduleArrival(number);
        }
        mQueue.runUntil((long) (LimitScenario.END * MICROS));
        return new LimitResult(
                worstUse(),
                mReference.refusedShare(mAdmittedSeconds.size()),
                mMessages / LimitScenario.END / mVms);
    }

    private double seconds() {
        return mQueue.nowMicros() / MICROS;
    }

    private static String name(int vm) {
        return "vm-" + vm;
    }

    /** Restarts the VM without memory if it was down, and updates its view of the others. */
    private void poll(int vm) {
        mQueue.schedule(POLL_MICROS, () -> poll(vm));
        boolean isRunning = mScenario.isRunning(vm, mVms, seconds());
        if (isRunning && !mWasRunning[vm]) {
            mLimiters[vm] =
                    new FleetRateLimiter(
                            name(vm), mSharing, mTolerance, mQueue.nowMillis(), mRandom.split());
        }
        mWasRunning[vm] = isRunning;
        if (!isRunning) {
            return;
        }
        mLimiters[vm].onVms(
                IntStream.range(0, mVms)
                        .filter(other -> mScenario.isPlanned(other, vm, mVms, seconds()))
                        .mapToObj(LimitSimulation::name)
                        .toList(),
                isIsolated(vm),
                mQueue.nowMillis());
        send(vm, mLimiters[vm].poll(mQueue.nowMillis()));
    }

    private boolean isIsolated(int vm) {
        return !mScenario.isConnected(vm, mVms, seconds())
                && !mScenario.isConnected(vm, mVms, seconds() - ISOLATION_SECONDS);
    }

    private void send(int from, List<LimitMessage> messages) {
        for (LimitMessage message : messages) {
            mMessages++;
            int to = Integer.parseInt(message.receiver().substring("vm-".length()));
            boolean isConnected =
                    mScenario.isConnected(from, mVms, seconds())
                            && mScenario.isConnected(to, mVms, seconds());
            if (isConnected && mRandom.nextDouble() >= MESSAGE_LOSS) {
                mQueue.schedule(
                        (long) (mScenario.messageSeconds() * MICROS), () -> deliver(to, message));
            }
        }
    }

    private void deliver(int to, LimitMessage message) {
        if (mWasRunning[to]) {
            send(to, mLimiters[to].onMessage(message, mQueue.nowMillis()));
        }
    }

    /** Schedules the next possible arrival by thinning a Poisson process of the highest rate. */
    private void scheduleArrival(int vm) {
        double maxRate = mLimit.requestsPerSecond() * 10;
        double gap = -Math.log(1 - mRandom.nextDouble()) / maxRate;
        mQueue.schedule(
                (long) Math.ceil(gap * MICROS),
                () -> {
                    double rate =
                            mLimit.requestsPerSecond() * mScenario.demand(vm, mVms, seconds());
                    if (mRandom.nextDouble() * maxRate < rate) {
                        arrive(vm);
                    }
                    scheduleArrival(vm);
                });
    }

    private void arrive(int vm) {
        if (!mWasRunning[vm]) {
            return;
        }
        RateLimit limit = mScenario.limit(mLimit, seconds());
        mReference.onRequest(limit, seconds());
        boolean wasActive = mLimiters[vm].isActive();
        if (mLimiters[vm].tryAcquire(CUSTOMER, limit, mQueue.nowMillis()).isEmpty()) {
            mAdmittedSeconds.add(seconds());
        }
        if (!wasActive && mLimiters[vm].isActive()) {
            send(vm, mLimiters[vm].poll(mQueue.nowMillis()));
        }
    }

    /** Returns the use of the worst window of all that begin with an admitted request. */
    private double worstUse() {
        double worst = 0;
        int end = 0;
        for (int start = 0; start < mAdmittedSeconds.size(); start++) {
            double from = mAdmittedSeconds.get(start);
            while (end < mAdmittedSeconds.size()
                    && mAdmittedSeconds.get(end) < from + mTolerance.windowSeconds()) {
                end++;
            }
            worst = Math.max(worst, (end - start) / tolerated(from));
        }
        return worst;
    }

    private double tolerated(double from) {
        RateLimit atEnd = mScenario.limit(mLimit, from + mTolerance.windowSeconds());
        RateLimit binding =
                mScenario.limit(
                        mLimit, Math.max(0, from - mTolerance.windowSeconds() - APPLY_SECONDS));
        double rate = Math.max(atEnd.requestsPerSecond(), binding.requestsPerSecond());
        double burst = Math.max(atEnd.burst(), binding.burst());
        return (rate * mTolerance.windowSeconds() + burst) * (1 + mTolerance.share())
                + mTolerance.requests();
    }

    /** One token bucket that sees all requests, and so refuses none within the limit. */
    private static final class RateLimitReference {
        private double mTokens = Double.NaN;
        private double mUpdatedSeconds;
        private long mAdmitted;

        private void onRequest(RateLimit limit, double seconds) {
            if (Double.isNaN(mTokens)) {
                mTokens = limit.burst();
            }
            double refilled = mTokens + (seconds - mUpdatedSeconds) * limit.requestsPerSecond();
            mTokens = Math.min(limit.burst(), refilled);
            mUpdatedSeconds = seconds;
            if (mTokens >= 1) {
                mTokens--;
                mAdmitted++;
            }
        }

        private double refusedShare(long admitted) {
            return mAdmitted == 0 ? 0 : Math.max(0, mAdmitted - admitted) / (double) mAdmitted;
        }
    }
}
