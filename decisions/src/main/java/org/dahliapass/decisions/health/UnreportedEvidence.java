package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/** What this VM saw and has not yet told the cell. */
final class UnreportedEvidence {
    private final Map<Endpoint, Map<String, Untold>> mCounts = new TreeMap<>();

    /** Returns one piece of work as evidence. */
    static TargetEvidence evidence(
            Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        if (outcome.isFailure()) {
            return new TargetEvidence(target, kind, 0, 1, 0, 0);
        }
        double log = Math.log((double) Math.max(1, latencyMillis));
        return new TargetEvidence(target, kind, 1, 0, log, log * log);
    }

    void add(TargetEvidence evidence, long nowMillis) {
        mCounts.computeIfAbsent(evidence.target(), key -> new TreeMap<>())
                .computeIfAbsent(evidence.kind(), key -> new Untold())
                .add(evidence, nowMillis);
    }

    /** Returns all that the cell doesn't know yet. */
    List<TargetEvidence> take() {
        List<TargetEvidence> taken = new ArrayList<>();
        mCounts.forEach((target, kinds) -> addTo(taken, target, kinds));
        mCounts.clear();
        return taken;
    }

    /** Returns what the cell doesn't know yet of the targets that failed something. */
    List<TargetEvidence> takeWithFailures() {
        Map<Endpoint, Map<String, Untold>> failing = new TreeMap<>(mCounts);
        failing.values().removeIf(kinds -> !hasFailures(kinds));
        mCounts.keySet().removeAll(failing.keySet());
        // With a target's failures go its successes: failures alone would look like all its work.
        List<TargetEvidence> taken = new ArrayList<>();
        failing.forEach((target, kinds) -> addTo(taken, target, kinds));
        return taken;
    }

    private static boolean hasFailures(Map<String, Untold> kinds) {
        return kinds.values().stream().anyMatch(untold -> untold.hasFailures());
    }

    private static void addTo(
            List<TargetEvidence> taken, Endpoint target, Map<String, Untold> kinds) {
        kinds.forEach(
                (kind, untold) -> {
                    addTo(taken, target, kind, untold.before());
                    addTo(taken, target, kind, untold.sinceFailure());
                });
    }

    private static void addTo(
            List<TargetEvidence> taken, Endpoint target, String kind, Counts counts) {
        if (counts.total() > 0) {
            taken.add(evidence(target, kind, counts));
        }
    }

    private static TargetEvidence evidence(Endpoint target, String kind, Counts counts) {
        return new TargetEvidence(
                target,
                kind,
                counts.mSuccesses,
                counts.mFailures,
                counts.mLogSum,
                counts.mLogSquareSum);
    }

    /**
     * Work of one kind on one target that the cell doesn't know yet.
     *
     * <p>What went well longer ago than a moment before the first failure is told apart: it says
     * how the target was before it may have fallen sick. The moment before belongs to the failure:
     * after a pause a burst of answers comes at once, and its few failures alone would mislead.
     */
    private static final class Untold {
        private static final long MOMENT_MILLIS = 50;

        private final Counts mBefore = new Counts();
        private final Counts mLastMoment = new Counts();
        private final Counts mSince = new Counts();
        private long mMoment;

        private void add(TargetEvidence evidence, long nowMillis) {
            long moment = nowMillis / MOMENT_MILLIS;
            if (mSince.mFailures == 0 && moment != mMoment) {
                startMoment(moment);
            }
            mSince.add(
                    evidence.successes(),
                    evidence.failures(),
                    evidence.logLatencySum(),
                    evidence.logLatencySquareSum());
        }

        private void startMoment(long moment) {
            mBefore.add(mLastMoment);
            mLastMoment.clear();
            Counts successor = moment == mMoment + 1 ? mLastMoment : mBefore;
            successor.add(mSince);
            mSince.clear();
            mMoment = moment;
        }

        private boolean hasFailures() {
            return mSince.mFailures > 0;
        }

        /** Returns the work before the failure's moment, or all if nothing failed. */
        private Counts before() {
            Counts before = new Counts();
            before.add(mBefore);
            if (!hasFailures()) {
                before.add(mLastMoment);
                before.add(mSince);
            }
            return before;
        }

        /** Returns the work from the moment before the first failure on. */
        private Counts sinceFailure() {
            Counts since = new Counts();
            if (hasFailures()) {
                since.add(mLastMoment);
                since.add(mSince);
            }
            return since;
        }
    }
}
