package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/** How each target does against its peers, in the work that one place saw. */
final class PlaceScores {
    private final Map<Endpoint, TargetScore> mScores = new HashMap<>();

    /**
     * Scores all targets on the work that a place saw.
     *
     * @param baselineTargets the targets that tell what is normal
     */
    static PlaceScores of(
            EvidenceTable table,
            String place,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy,
            long nowMillis) {
        PlaceScores scores = new PlaceScores();
        for (String kind : table.kinds(place)) {
            Map<Endpoint, Counts[]> windows = table.windows(place, kind, nowMillis);
            for (int window = 0; window < WorkHistory.WINDOWS; window++) {
                scores.addKind(kind, window, windows, baselineTargets, policy);
            }
        }
        return scores;
    }

    /** Returns the target's scores; all zero if the place saw no work of it. */
    TargetScore score(Endpoint target) {
        return mScores.getOrDefault(target, TargetScore.NOTHING_SEEN);
    }

    private void addKind(
            String kind,
            int window,
            Map<Endpoint, Counts[]> windows,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy) {
        Map<Endpoint, Counts> peers = new TreeMap<>();
        windows.forEach(
                (target, counts) -> {
                    if (baselineTargets.contains(target)) {
                        peers.put(target, counts[window]);
                    }
                });
        PeerBaseline failures = PeerBaseline.ofFailures(peers);
        PeerBaseline latency = PeerBaseline.ofLatency(peers);
        boolean probes = kind.equals(EvidenceTable.PROBE_KIND);
        windows.forEach(
                (target, counts) -> {
                    Counts own = counts[window];
                    if (own.total() > 0) {
                        mScores.computeIfAbsent(target, key -> new TargetScore())
                                .add(
                                        window,
                                        own,
                                        failures.against(target, own),
                                        latency.against(target, own),
                                        policy,
                                        probes);
                    }
                });
    }
}
