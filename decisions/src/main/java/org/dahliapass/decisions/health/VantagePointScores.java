package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/** The scores of all targets relative to their peers, as observed at one vantage point. */
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
     * Scores all targets by the outcomes that an availability zone observed.
     *
     * @param windows the windows of each target, by request kind
     * @param baselineTargets the targets that the baseline is computed from
     */
    static VantagePointScores forZone(
            Map<String, Counts[][]> windows,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy) {
        VantagePointScores scores = new VantagePointScores(targets, baselineTargets, policy);
        windows.forEach(
                (kind, targetWindows) ->
                        scores.addKind(kind, assumeUnreportedSuccesses(targetWindows), null));
        return scores;
    }

    /**
     * Scores all targets by the outcomes that the local VM observed.
     *
     * <p>Each target is also compared with the outcomes of the other VMs. If they succeed, the
     * network path of the local VM is faulty, even if it affects most of the targets.
     *
     * @param windows the windows of each target, by request kind
     * @param cellWindows the windows of the whole cell, including the local VM
     */
    static VantagePointScores forLocalVm(
            Map<String, Counts[][]> windows,
            Map<String, Counts[][]> cellWindows,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            DetectionPolicy policy) {
        VantagePointScores scores = new VantagePointScores(targets, baselineTargets, policy);
        windows.forEach(
                (kind, targetWindows) ->
                        scores.addKind(kind, targetWindows, cellWindows.get(kind)));
        return scores;
    }

    /**
     * Adds the successes that short windows should contain but that are not reported yet.
     *
     * <p>Failures are reported at once and successes later, so short windows would otherwise
     * contain only failures during a fault that affects all targets.
     */
    private static Counts[][] assumeUnreportedSuccesses(Counts[][] targetWindows) {
        for (Counts[] windows : targetWindows) {
            for (int window = 0; windows != null && window < WindowedCounts.ONE_SECOND; window++) {
                double expected =
                        windows[WindowedCounts.ONE_SECOND].total()
                                * WindowedCounts.fractionOfSecond(window);
                windows[window].assumeSuccesses((int) Math.round(expected));
            }
        }
        return targetWindows;
    }

    /** Returns the target's scores; all zero without observations. */
    TargetScore score(Endpoint target) {
        return mScores.getOrDefault(target, TargetScore.EMPTY);
    }

    private void addKind(String kind, Counts[][] targetWindows, Counts[][] cellWindows) {
        boolean probes = kind.equals(EvidenceTable.PROBE_KIND);
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            Counts[] peers = peers(targetWindows, window);
            PeerBaseline failures = PeerBaseline.forFailures(peers);
            PeerBaseline latency = probes ? failures : PeerBaseline.forLatency(peers);
            for (int index = 0; index < targetWindows.length; index++) {
                if (targetWindows[index] == null || targetWindows[index][window].total() == 0) {
                    continue;
                }
                Counts target = targetWindows[index][window];
                double nullRate = LikelihoodRatioTest.nullRate(failures.excluding(target));
                TargetScore.WindowScore score = window(mTargets.get(index), window);
                if (probes) {
                    score.addProbes(target, nullRate, mPolicy);
                    continue;
                }
                score.addLatency(target, latency.excluding(target), mPolicy);
                score.addFailures(
                        target,
                        Math.min(nullRate, otherVmsFailureRate(target, cellWindows, index, window)),
                        mPolicy);
            }
        }
    }

    private static double otherVmsFailureRate(
            Counts local, Counts[][] cellWindows, int index, int window) {
        if (cellWindows == null || cellWindows[index] == null) {
            return 1;
        }
        Counts others = new Counts();
        others.add(cellWindows[index][window]);
        others.subtract(local);
        return LikelihoodRatioTest.nullRateUpperBound(others);
    }

    private Counts[] peers(Counts[][] targetWindows, int window) {
        List<Counts> peers = new ArrayList<>();
        for (int index = 0; index < targetWindows.length; index++) {
            if (targetWindows[index] != null
                    && targetWindows[index][window].total() > 0
                    && mBaselineTargets.contains(mTargets.get(index))) {
                peers.add(targetWindows[index][window]);
            }
        }
        return peers.toArray(new Counts[0]);
    }

    private TargetScore.WindowScore window(Endpoint target, int window) {
        return mScores.computeIfAbsent(target, key -> new TargetScore()).window(window);
    }
}
