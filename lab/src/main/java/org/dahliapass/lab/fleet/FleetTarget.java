package org.dahliapass.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** One fake target: slots, a short queue, and bouts in which it fails a share of its work. */
final class FleetTarget {
    private static final int SLOW_FACTOR = 8;

    private final Scenario mScenario;
    private final EventScheduler mTimeline;
    private final SplittableRandom mRandom;
    private final Endpoint mEndpoint;
    private final FleetStatistics mTally;
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final List<TargetUsageTracker.FailurePeriod> mBouts = new ArrayList<>();
    private boolean mInBout;
    private long mBoutFromMillis;
    private final List<Consumer<FailureKind>> mAtWork = new ArrayList<>();
    private int mRunning;
    private int mStarts = 1;
    private boolean mDown;

    FleetTarget(
            Scenario scenario,
            EventScheduler timeline,
            SplittableRandom random,
            Endpoint endpoint,
            FleetStatistics tally) {
        mTally = tally;
        mScenario = scenario;
        mTimeline = timeline;
        mRandom = random;
        mEndpoint = endpoint;
        double bout = scenario.meanFailurePeriod().toMillis();
        mInBout = random.nextDouble() < bout / (bout + scenario.meanHealthyPeriod().toMillis());
        mTimeline.schedule(untilTurn(), this::turn);
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    boolean isFailing() {
        return mInBout;
    }

    private long untilTurn() {
        double mean =
                (mInBout ? mScenario.meanFailurePeriod() : mScenario.meanHealthyPeriod())
                        .toMillis();
        return Math.max(1, Math.round(-mean * Math.log(1 - mRandom.nextDouble())));
    }

    /** Returns the bouts up to now. */
    List<TargetUsageTracker.FailurePeriod> failurePeriods() {
        List<TargetUsageTracker.FailurePeriod> bouts = new ArrayList<>(mBouts);
        if (mInBout) {
            bouts.add(
                    new TargetUsageTracker.FailurePeriod(
                            mBoutFromMillis, mTimeline.elapsedMillis()));
        }
        return bouts;
    }

    private void turn() {
        if (mInBout) {
            mBouts.add(
                    new TargetUsageTracker.FailurePeriod(
                            mBoutFromMillis, mTimeline.elapsedMillis()));
        }
        mInBout = !mInBout;
        mBoutFromMillis = mTimeline.elapsedMillis();
        mTimeline.schedule(untilTurn(), this::turn);
    }

    /**
     * Takes a request.
     *
     * @param end gets null for a whole answer, else how the work failed; never called if it hangs
     */
    void accept(RequestLoad load, Consumer<FailureKind> end) {
        if (mDown) {
            mTimeline.schedule(1, () -> end.accept(FailureKind.CONNECT_FAILED));
            return;
        }
        if (mInBout
                && mScenario.failureMode() != FailureMode.SLOW
                && fails(mScenario.failureShare())) {
            failInBout(end);
            return;
        }
        if (mRunning < mScenario.slots()) {
            mAtWork.add(end);
            run(load, end);
        } else if (mQueue.size() < mScenario.queue()) {
            mAtWork.add(end);
            mQueue.add(() -> run(load, end));
        } else {
            mTimeline.schedule(1, () -> end.accept(FailureKind.REFUSED_NOT_PROCESSED));
        }
    }

    private void failInBout(Consumer<FailureKind> end) {
        switch (mScenario.failureMode()) {
            case ERROR -> mTimeline.schedule(1, () -> end.accept(FailureKind.SERVER_ERROR));
            case RESET -> mTimeline.schedule(1, () -> end.accept(FailureKind.RESET_AFTER_SEND));
            default -> {}
        }
    }

    boolean isDown() {
        return mDown;
    }

    /** Returns a name of this start of the target. */
    String incarnation() {
        return mEndpoint + "@" + mStarts;
    }

    /** Ends the target's process with all that it has; it is back after a while. */
    void crash() {
        if (mDown) {
            return;
        }
        mDown = true;
        mRunning = 0;
        mQueue.clear();
        List<Consumer<FailureKind>> atWork = List.copyOf(mAtWork);
        mAtWork.clear();
        atWork.forEach(
                end -> mTimeline.schedule(1, () -> end.accept(FailureKind.RESET_AFTER_SEND)));
        mTimeline.schedule(
                mScenario.restartDelay().toMillis(),
                () -> {
                    mDown = false;
                    mStarts++;
                });
    }

    private void run(RequestLoad load, Consumer<FailureKind> end) {
        mRunning++;
        mTimeline.schedule(
                workMillis(load),
                () -> {
                    if (!mAtWork.remove(end)) {
                        return;
                    }
                    if (load.crashesTarget()) {
                        mTally.onPoisonCrash(mTimeline.elapsedMillis());
                        mAtWork.add(end);
                        crash();
                        return;
                    }
                    mRunning--;
                    if (!mQueue.isEmpty()) {
                        mQueue.remove().run();
                    }
                    boolean failed = fails(mScenario.baseFailureRate());
                    end.accept(failed ? FailureKind.SERVER_ERROR : null);
                });
    }

    private boolean fails(double share) {
        return mRandom.nextDouble() < share;
    }

    private long workMillis(RequestLoad load) {
        double spread = load.serviceTimeSigma();
        double scale = Math.exp(spread * mRandom.nextGaussian() - spread * spread / 2);
        boolean slow =
                mInBout
                        && mScenario.failureMode() == FailureMode.SLOW
                        && fails(mScenario.failureShare());
        return Math.max(1, Math.round(load.meanServiceMillis() * scale * (slow ? SLOW_FACTOR : 1)));
    }
}
