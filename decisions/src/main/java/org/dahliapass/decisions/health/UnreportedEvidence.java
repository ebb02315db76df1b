package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/** The outcomes that the local VM observed but has not yet reported to the cell. */
final class UnreportedEvidence {
    private final Map<Endpoint, Map<String, PendingCounts>> mCounts = new TreeMap<>();

    /** Returns the outcome of one request as evidence. */
    static TargetEvidence evidence(
            Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        if (outcome.isFailure()) {
            return new TargetEvidence(target, kind, 0, 1, 0, 0);
        }
        double logLatency = Math.log((double) Math.max(1, latencyMillis));
        return new TargetEvidence(target, kind, 1, 0, logLatency, logLatency * logLatency);
    }

    void add(TargetEvidence evidence, long nowMillis) {
        mCounts.computeIfAbsent(evidence.target(), key -> new TreeMap<>())
                .computeIfAbsent(evidence.kind(), key -> new PendingCounts())
                .add(evidence, nowMillis);
    }

    /** Returns and clears all unreported evidence. */
    List<TargetEvidence> take() {
        List<TargetEvidence> evidence = new ArrayList<>();
        mCounts.forEach((target, kinds) -> addTo(evidence, target, kinds));
        mCounts.clear();
        return evidence;
    }

    /** Returns and clears the unreported evidence of all targets with failures. */
    List<TargetEvidence> takeWithFailures() {
        Map<Endpoint, Map<String, PendingCounts>> failing = new TreeMap<>(mCounts);
        failing.values().removeIf(kinds -> !hasFailures(kinds));
        mCounts.keySet().removeAll(failing.keySet());
        // Failures without the target's successes would overstate its failure rate.
        List<TargetEvidence> evidence = new ArrayList<>();
        failing.forEach((target, kinds) -> addTo(evidence, target, kinds));
        return evidence;
    }

    private static boolean hasFailures(Map<String, PendingCounts> kinds) {
        return kinds.values().stream().anyMatch(pending -> pending.hasFailures());
    }

    private static void addTo(
            List<TargetEvidence> evidence, Endpoint target, Map<String, PendingCounts> kinds) {
        kinds.forEach(
                (kind, pending) -> {
                    addTo(evidence, target, kind, pending.beforeFailure());
                    addTo(evidence, target, kind, pending.sinceFailure());
                });
    }

    private static void addTo(
            List<TargetEvidence> evidence, Endpoint target, String kind, Counts counts) {
        if (counts.total() > 0) {
            evidence.add(evidence(target, kind, counts));
        }
    }

    private static TargetEvidence evidence(Endpoint target, String kind, Counts counts) {
        return new TargetEvidence(
                target,
                kind,
                counts.mSuccesses,
                counts.mFailures,
                counts.mLogLatencySum,
                counts.mLogLatencySquareSum);
    }

    /**
     * Unreported outcomes of one target and request kind.
     *
     * <p>Successes from before the first failure are reported separately, because they describe the
     * target before a possible fault. Successes of the time slot just before the failure count with
     * it: after a pause, many responses arrive at once and a few failures would stand out.
     */
    private static final class PendingCounts {
        private static final long SLOT_MILLIS = 50;

        private final Counts mBefore = new Counts();
        private final Counts mPreviousSlot = new Counts();
        private final Counts mCurrentSlot = new Counts();
        private long mSlot;

        private void add(TargetEvidence evidence, long nowMillis) {
            long slot = nowMillis / SLOT_MILLIS;
            // After a failure, the current slot remains open until the counts are taken.
            if (mCurrentSlot.mFailures == 0 && slot != mSlot) {
                startSlot(slot);
            }
            mCurrentSlot.add(
                    evidence.successes(),
                    evidence.failures(),
                    evidence.logLatencySum(),
                    evidence.logLatencySquareSum());
        }

        private void startSlot(long slot) {
            mBefore.add(mPreviousSlot);
            mPreviousSlot.clear();
            Counts destination = slot == mSlot + 1 ? mPreviousSlot : mBefore;
            destination.add(mCurrentSlot);
            mCurrentSlot.clear();
            mSlot = slot;
        }

        private boolean hasFailures() {
            return mCurrentSlot.mFailures > 0;
        }

        /** Returns the outcomes before the failure; all outcomes if there is no failure. */
        private Counts beforeFailure() {
            Counts outcomes = new Counts();
            outcomes.add(mBefore);
            if (!hasFailures()) {
                outcomes.add(mPreviousSlot);
                outcomes.add(mCurrentSlot);
            }
            return outcomes;
        }

        /** Returns the outcomes since the time slot before the first failure; empty without one. */
        private Counts sinceFailure() {
            Counts outcomes = new Counts();
            if (hasFailures()) {
                outcomes.add(mPreviousSlot);
                outcomes.add(mCurrentSlot);
            }
            return outcomes;
        }
    }
}
