package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/** What this VM saw and has not yet told the cell. */
final class OwnWork {
    private final Map<Endpoint, Map<String, Counts>> mCounts = new TreeMap<>();

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
                .computeIfAbsent(evidence.kind(), key -> new Counts())
                .add(
                        evidence.successes(),
                        evidence.failures(),
                        evidence.logLatencySum(),
                        evidence.logLatencySquareSum());
    }

    List<TargetEvidence> take() {
        List<TargetEvidence> taken = new ArrayList<>();
        mCounts.forEach(
                (target, kinds) ->
                        kinds.forEach((kind, counts) -> taken.add(evidence(target, kind, counts))));
        mCounts.clear();
        return taken;
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
}
