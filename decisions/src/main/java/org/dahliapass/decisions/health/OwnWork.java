package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/** What this VM saw and has not yet told the cell. */
final class OwnWork {
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

    void add(TargetEvidence evidence) {
        mCounts.computeIfAbsent(evidence.target(), key -> new TreeMap<>())
                .computeIfAbsent(evidence.kind(), key -> new Untold())
                .add(evidence);
    }

    /** Returns all that the cell doesn't know yet. */
    List<TargetEvidence> take() {
        List<TargetEvidence> taken = new ArrayList<>();
        mCounts.forEach((target, kinds) -> addTo(taken, target, kinds));
        mCounts.clear();
        return taken;
    }

    /** Returns what the cell doesn't know yet of the targets that failed something. */
    List<TargetEvidence> takeFailing() {
        Map<Endpoint, Map<String, Untold>> failing = new TreeMap<>(mCounts);
        failing.values().removeIf(kinds -> !hasFailures(kinds));
        mCounts.keySet().removeAll(failing.keySet());
        // With a target's failures go its successes: failures alone would look like all its work.
        List<TargetEvidence> taken = new ArrayList<>();
        failing.forEach((target, kinds) -> addTo(taken, target, kinds));
        return taken;
    }

    private static boolean hasFailures(Map<String, Untold> kinds) {
        return kinds.values().stream().anyMatch(untold -> untold.mSinceFailure.mFailures > 0);
    }

    private static void addTo(
            List<TargetEvidence> taken, Endpoint target, Map<String, Untold> kinds) {
        kinds.forEach(
                (kind, untold) -> {
                    addTo(taken, target, kind, untold.mBeforeFailure);
                    addTo(taken, target, kind, untold.mSinceFailure);
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
     * <p>What went well before the first failure is told apart: it says how the target was before
     * it may have fallen sick.
     */
    private static final class Untold {
        private final Counts mBeforeFailure = new Counts();
        private final Counts mSinceFailure = new Counts();

        private void add(TargetEvidence evidence) {
            boolean failed = evidence.failures() > 0 || mSinceFailure.mFailures > 0;
            Counts counts = failed ? mSinceFailure : mBeforeFailure;
            counts.add(
                    evidence.successes(),
                    evidence.failures(),
                    evidence.logLatencySum(),
                    evidence.logLatencySquareSum());
        }
    }
}
