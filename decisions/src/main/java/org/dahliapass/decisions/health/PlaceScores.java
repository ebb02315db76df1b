package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/** How each target does against its peers, in the work that one place saw. */
final class PlaceScores {
    private final List<Endpoint> mTargets;
    private final Set<Endpoint> mBaselineTargets;
    private final DetectionPolicy mPolicy;
    private final Map<Endpoint, TargetScore> mScores = new HashMap<>();

    private PlaceScores(
            List<Endpoint> targets, Set<Endpoint> baselineTargets, DetectionPolicy policy) {
        mTargets = targets;
        mBaselineTargets = baselineTargets;
        mPolicy = policy;
    }

    /**
     * Scores all targets on the work that an availability zone saw.
     *
     * @param baselineTargets the targets that tell what is normal
     */
    static PlaceScores ofZone(
            EvidenceTable table,
            String zone,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy,
            long nowMillis) {
        PlaceScores scores = new PlaceScores(targets, baselineTargets, policy);
        for (String kind : table.kinds(zone)) {
            scores.addKind(kind, table.windows(zone, kind, targets, nowMillis), null);
        }
        return scores;
    }

    /**
     * Scores all targets on the work that this VM saw.
     *
     * <p>It is also held against what the other VMs see of the same target: if they do well with
     * it, this VM's path is at fault, however many of its targets are behind that path.
     */
    static PlaceScores ofThisVm(
            EvidenceTable table,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy,
            long nowMillis) {
        PlaceScores scores = new PlaceScores(targets, baselineTargets, policy);
        for (String kind : table.kinds(EvidenceTable.OWN)) {
            scores.addKind(
                    kind,
                    table.windows(EvidenceTable.OWN, kind, targets, nowMillis),
                    table.windowsOfOthers(kind, targets, nowMillis));
        }
        return scores;
    }

    /** Returns the target's scores; all zero if the place saw no work of it. */
    TargetScore score(Endpoint target) {
        return mScores.getOrDefault(target, TargetScore.NOTHING_SEEN);
    }

    private void addKind(String kind, Counts[][] seen, Counts[][] elsewhere) {
        int workInSecond = sum(peers(seen, WorkHistory.ONE_SECOND)).total();
        for (int window = 0; window < WorkHistory.WINDOWS; window++) {
            double expectedWork = workInSecond * WorkHistory.shareOfSecond(window);
            Counts[] peers = peers(seen, window);
            PeerBaseline failures = PeerBaseline.ofFailures(peers);
            PeerBaseline latency = PeerBaseline.ofLatency(peers);
            for (int index = 0; index < seen.length; index++) {
                if (seen[index] == null || seen[index][window].total() == 0) {
                    continue;
                }
                Counts own = seen[index][window];
                TargetScore.WindowScore score = window(mTargets.get(index), window);
                if (kind.equals(EvidenceTable.PROBE_KIND)) {
                    score.addProbes(own, failures.against(own), mPolicy);
                    continue;
                }
                double nullRate = LikelihoodTest.nullRate(failures.against(own), expectedWork);
                if (elsewhere != null) {
                    Counts others = elsewhere[index][window];
                    nullRate = Math.min(nullRate, LikelihoodTest.highestNullRate(others));
                }
                score.addFailures(own, nullRate, mPolicy);
                score.addLatency(own, latency.against(own), mPolicy);
            }
        }
    }

    private static Counts sum(Counts[] parts) {
        Counts sum = new Counts();
        for (Counts part : parts) {
            sum.add(part);
        }
        return sum;
    }

    private Counts[] peers(Counts[][] seen, int window) {
        List<Counts> peers = new ArrayList<>();
        for (int index = 0; index < seen.length; index++) {
            if (seen[index] != null
                    && seen[index][window].total() > 0
                    && mBaselineTargets.contains(mTargets.get(index))) {
                peers.add(seen[index][window]);
            }
        }
        return peers.toArray(new Counts[0]);
    }

    private TargetScore.WindowScore window(Endpoint target, int window) {
        return mScores.computeIfAbsent(target, key -> new TargetScore()).window(window);
    }
}
