package org.dahliapass.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** A simulated target with slots, a bounded queue and periods in which it fails some requests. */
final class FleetTarget {
    private static final int SLOW_FACTOR = 8;

    private final Scenario mScenario;
    private final EventScheduler mScheduler;
    private final SplittableRandom mRandom;
    private final Endpoint mEndpoint;
    private final FleetStatistics mStatistics;
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final List<TargetUsageTracker.FailurePeriod> mFailurePeriods = new ArrayList<>();
    private boolean mFailing;
    private long mFailingSinceMillis;
    private final List<Consumer<FailureKind>> mPendingCallbacks = new ArrayList<>();
    private int mRunning;
    private int mStarts = 1;
    private boolean mDown;
    private boolean mLimited;
    private boolean mResting;
    private boolean mLeaving;
    private boolean mShedding;

    FleetTarget(
            Scenario scenario,
            EventScheduler scheduler,
            SplittableRandom random,
            Endpoint endpoint,
            FleetStatistics statistics) {
        mStatistics = statistics;
        mScenario = scenario;
        mScheduler = scheduler;
        mRandom = random;
        mEndpoint = endpoint;
        double meanFailingMillis = scenario.meanFailurePeriod().toMillis();
        mFailing =
                random.nextDouble()
                        < meanFailingMillis
                                / (meanFailingMillis + scenario.meanHealthyPeriod().toMillis());
        mScheduler.schedule(millisUntilToggle(), this::toggleFailing);
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /** Makes the target name a request limit during the middle third. */
    void setLimited() {
        mLimited = true;
    }

    /** Returns what the target's responses say of its request limit now. */
    LimitStatement limitStatement() {
        return mLimited && mScenario.isMiddleThird(mScheduler.elapsedMillis())
                ? new LimitStatement.Limited(mScenario.requestLimit())
                : LimitStatement.UNLIMITED;
    }

    /** Makes the target turn all requests away and ask for a rest during the middle third. */
    void setResting() {
        mResting = true;
    }

    /** Makes the target shed a share of its requests during the middle third. */
    void setShedding() {
        mShedding = true;
    }

    /** Returns whether the target sheds requests now. */
    boolean isShedding() {
        return mShedding && mScenario.isMiddleThird(mScheduler.elapsedMillis());
    }

    /** Returns the share of requests that the target accepts now, unless it is full. */
    double acceptedShare() {
        return isShedding() ? 1 - mScenario.shedRate() : 1;
    }

    /** Returns what the target's responses say of its load now. */
    LoadStatement loadStatement() {
        return new LoadStatement(mRunning, mQueue.size(), mScenario.slots());
    }

    /** Makes the target leave: it says so from the middle third on and exits at its end. */
    void setLeaving() {
        mLeaving = true;
        mScheduler.schedule(2 * mScenario.duration().toMillis() / 3, this::crash);
    }

    private boolean hasLeft() {
        return mLeaving && mScheduler.elapsedMillis() >= 2 * mScenario.duration().toMillis() / 3;
    }

    /** Returns whether the target turns all requests away now. */
    boolean isResting() {
        return mResting && mScenario.isMiddleThird(mScheduler.elapsedMillis());
    }

    /** Returns what the target's responses say of its availability now. */
    AvailabilityStatement availabilityStatement() {
        boolean isLeaving =
                mLeaving && mScheduler.elapsedMillis() >= mScenario.duration().toMillis() / 3;
        return new AvailabilityStatement(
                isLeaving,
                isResting() ? OptionalLong.of(mScenario.rest().toMillis()) : OptionalLong.empty(),
                List.of());
    }

    boolean isFailing() {
        return mFailing;
    }

    private long millisUntilToggle() {
        double mean =
                (mFailing ? mScenario.meanFailurePeriod() : mScenario.meanHealthyPeriod())
                        .toMillis();
        return Math.max(1, Math.round(-mean * Math.log(1 - mRandom.nextDouble())));
    }

    /** Returns the failure periods so far; one that lasts ends at the present time. */
    List<TargetUsageTracker.FailurePeriod> failurePeriods() {
        List<TargetUsageTracker.FailurePeriod> failurePeriods = new ArrayList<>(mFailurePeriods);
        if (mFailing) {
            failurePeriods.add(
                    new TargetUsageTracker.FailurePeriod(
                            mFailingSinceMillis, mScheduler.elapsedMillis()));
        }
        long third = mScenario.duration().toMillis() / 3;
        if (mResting || mLeaving || mShedding) {
            failurePeriods.add(
                    new TargetUsageTracker.FailurePeriod(third, mLeaving ? 3 * third : 2 * third));
        }
        return failurePeriods;
    }

    private void toggleFailing() {
        if (mFailing) {
            mFailurePeriods.add(
                    new TargetUsageTracker.FailurePeriod(
                            mFailingSinceMillis, mScheduler.elapsedMillis()));
        }
        mFailing = !mFailing;
        mFailingSinceMillis = mScheduler.elapsedMillis();
        mScheduler.schedule(millisUntilToggle(), this::toggleFailing);
    }

    /**
     * Accepts, queues or refuses a request.
     *
     * @param callback receives null on success, else the failure; never called if the target hangs
     */
    void accept(RequestLoad load, Consumer<FailureKind> callback) {
        if (mDown) {
            mScheduler.schedule(1, () -> callback.accept(FailureKind.CONNECT_FAILED));
            return;
        }
        if (isResting()) {
            mScheduler.schedule(1, () -> callback.accept(FailureKind.REFUSED_NOT_PROCESSED));
            return;
        }
        if (mFailing
                && mScenario.failureMode() != FailureMode.SLOW
                && fails(mScenario.failureShare())) {
            failRequest(callback);
            return;
        }
        if (isShedding() && fails(mScenario.shedRate())) {
            mScheduler.schedule(1, () -> callback.accept(FailureKind.REFUSED_NOT_PROCESSED));
            return;
        }
        if (mRunning < mScenario.slots()) {
            mPendingCallbacks.add(callback);
            run(load, callback);
        } else if (mQueue.size() < mScenario.queue()) {
            mPendingCallbacks.add(callback);
            mQueue.add(() -> run(load, callback));
        } else {
            mScheduler.schedule(1, () -> callback.accept(FailureKind.REFUSED_NOT_PROCESSED));
        }
    }

    private void failRequest(Consumer<FailureKind> callback) {
        switch (mScenario.failureMode()) {
            case ERROR -> mScheduler.schedule(1, () -> callback.accept(FailureKind.SERVER_ERROR));
            case RESET ->
                    mScheduler.schedule(1, () -> callback.accept(FailureKind.RESET_AFTER_SEND));
            default -> {}
        }
    }

    boolean isDown() {
        return mDown;
    }

    /** Returns the incarnation, which changes with each restart. */
    String incarnation() {
        return mEndpoint + "@" + mStarts;
    }

    /** Crashes the target, resets its connections and schedules its restart. */
    void crash() {
        if (mDown) {
            return;
        }
        mDown = true;
        mRunning = 0;
        mQueue.clear();
        List<Consumer<FailureKind>> pendingCallbacks = List.copyOf(mPendingCallbacks);
        mPendingCallbacks.clear();
        pendingCallbacks.forEach(
                callback ->
                        mScheduler.schedule(
                                1, () -> callback.accept(FailureKind.RESET_AFTER_SEND)));
        mScheduler.schedule(
                mScenario.restartDelay().toMillis(),
                () -> {
                    mDown = hasLeft();
                    mStarts++;
                });
    }

    private void run(RequestLoad load, Consumer<FailureKind> callback) {
        mRunning++;
        mScheduler.schedule(
                serviceMillis(load),
                () -> {
                    if (!mPendingCallbacks.remove(callback)) {
                        return;
                    }
                    if (load.crashesTarget()) {
                        mStatistics.onPoisonCrash(mScheduler.elapsedMillis());
                        mPendingCallbacks.add(callback);
                        crash();
                        return;
                    }
                    mRunning--;
                    if (!mQueue.isEmpty()) {
                        mQueue.remove().run();
                    }
                    boolean failed = fails(mScenario.baseFailureRate());
                    callback.accept(failed ? FailureKind.SERVER_ERROR : null);
                });
    }

    private boolean fails(double share) {
        return mRandom.nextDouble() < share;
    }

    private long serviceMillis(RequestLoad load) {
        double sigma = load.serviceTimeSigma();
        double scale = Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
        boolean slow =
                mFailing
                        && mScenario.failureMode() == FailureMode.SLOW
                        && fails(mScenario.failureShare());
        return Math.max(1, Math.round(load.meanServiceMillis() * scale * (slow ? SLOW_FACTOR : 1)));
    }
}
