package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/** How each target does against its peers, in the work that one place saw. */
final class VantagePointScores {
    private final List<Endpoint> mTargets;
    private final Set<Endpoint> mBaselineTargets;
    private final DetectionPolicy mPolicy;
    private final Map<Endpoint, TargetScore> mScores = new HashMap<>();

    private VantagePointScores(
            List<Endpoint> targets, Set<Endpoint> baselineTargets, DetectionPolicy policy) {
        mTargets = targets;
        mBaselineTargets = baselineTargets;
        mPolicy = policy;
    }

    /**
     * Scores all targets on the work that an availability zone saw.
     *
     * @param windows the work by request kind
     * @param baselineTargets the targets that tell what is normal
     */
    static VantagePointScores forZone(
            Map<String, Counts[][]> windows,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy) {
        VantagePointScores scores = new VantagePointScores(targets, baselineTargets, policy);
        windows.forEach((kind, seen) -> scores.addKind(kind, fillUp(seen), null));
        return scores;
    }

    /**
     * Scores all targets on the work that this VM saw.
     *
     * <p>It is also held against what the other VMs see of the same target: if they do well with
     * it, this VM's path is at fault, however many of its targets are behind that path.
     *
     * @param windows the work by request kind
     * @param everywhere the work that all VMs saw, this one among them
     */
    static VantagePointScores forLocalVm(
            Map<String, Counts[][]> windows,
            Map<String, Counts[][]> everywhere,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy) {
        VantagePointScores scores = new VantagePointScores(targets, baselineTargets, policy);
        windows.forEach((kind, seen) -> scores.addKind(kind, seen, everywhere.get(kind)));
        return scores;
    }

    /**
     * Adds the good work that short windows should hold but that is not told yet.
     *
     * <p>Guards against a fault that all share: failures are told at once and good work late, so a
     * short window of failures alone would make any target look sick.
     */
    private static Counts[][] fillUp(Counts[][] seen) {
        for (Counts[] windows : seen) {
            for (int window = 0; windows != null && window < WindowedCounts.ONE_SECOND; window++) {
                double expected =
                        windows[WindowedCounts.ONE_SECOND].total()
                                * WindowedCounts.fractionOfSecond(window);
                windows[window].assumeSuccesses((int) Math.round(expected));
            }
        }
        return seen;
    }

    /** Returns the target's scores; all zero if the place saw no work of it. */
    TargetScore score(Endpoint target) {
        return mScores.getOrDefault(target, TargetScore.EMPTY);
    }

    private void addKind(String kind, Counts[][] seen, Counts[][] everywhere) {
        boolean probes = kind.equals(EvidenceTable.PROBE_KIND);
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            Counts[] peers = peers(seen, window);
            PeerBaseline failures = PeerBaseline.forFailures(peers);
            PeerBaseline latency = probes ? failures : PeerBaseline.forLatency(peers);
            for (int index = 0; index < seen.length; index++) {
                if (seen[index] == null || seen[index][window].total() == 0) {
                    continue;
                }
                Counts own = seen[index][window];
                double nullRate = LikelihoodRatioTest.nullRate(failures.excluding(own));
                TargetScore.WindowScore score = window(mTargets.get(index), window);
                if (probes) {
                    score.addProbes(own, nullRate, mPolicy);
                    continue;
                }
                score.addLatency(own, latency.excluding(own), mPolicy);
                score.addFailures(
                        own,
                        Math.min(nullRate, rateElsewhere(own, everywhere, index, window)),
                        mPolicy);
            }
        }
    }

    private static double rateElsewhere(Counts own, Counts[][] everywhere, int index, int window) {
        if (everywhere == null || everywhere[index] == null) {
            return 1;
        }
        Counts others = new Counts();
        others.add(everywhere[index][window]);
        others.subtract(own);
        return LikelihoodRatioTest.nullRateUpperBound(others);
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
