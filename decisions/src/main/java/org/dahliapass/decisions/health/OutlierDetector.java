package org.dahliapass.decisions.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/**
 * Detects faulty targets from the evidence of a cell and distinguishes them from network faults.
 *
 * <p>Targets are scored within each availability zone, so a zone with a network fault sees all
 * targets alike and no outlier. The scores of the zones are then added. A fault of one zone's
 * network path to a target raises the score of that zone only. A target is therefore considered
 * faulty only if the sum without the highest zone is also high, which requires evidence from two
 * zones.
 */
final class OutlierDetector {
    /** The share of the bound that the score must reach without the highest zone. */
    private static final double CORROBORATION_SHARE = 0.4;

    private static final double HOUR_MILLIS = 3_600_000;

    /** The share of the slow factor that the latency ratio of a straggler must reach. */
    private static final double SLOW_FACTOR_SHARE = 0.8;

    private static final int MIN_SUCCESSES_FOR_RATIO = 3;

    private static final double MIN_DEVIATIONS_FOR_RATIO = 4;

    private final DetectionPolicy mPolicy;
    private final Map<String, VantagePointScores> mZoneScores = new HashMap<>();
    private final VantagePointScores mLocalScores;
    private final boolean mOtherZonesReporting;

    /**
     * Scores all targets by the evidence.
     *
     * @param zones the zones with evidence, including the local zone
     * @param otherZonesReporting whether a VM of another zone is currently reporting
     * @param baselineTargets the targets that the baseline is computed from
     */
    OutlierDetector(
            DetectionPolicy policy,
            EvidenceTable table,
            Collection<String> zones,
            boolean otherZonesReporting,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            long nowMillis) {
        mPolicy = policy;
        mOtherZonesReporting = otherZonesReporting;
        Map<String, Counts[][]> cellWindows = new HashMap<>();
        for (String zone : zones) {
            Map<String, Counts[][]> zoneWindows = table.windows(zone, targets, nowMillis);
            addTo(cellWindows, zoneWindows);
            mZoneScores.put(
                    zone,
                    VantagePointScores.forZone(zoneWindows, targets, baselineTargets, policy));
        }
        mLocalScores =
                VantagePointScores.forLocalVm(
                        table.windows(EvidenceTable.LOCAL_VM, targets, nowMillis),
                        cellWindows,
                        targets,
                        baselineTargets,
                        policy);
    }

    private static void addTo(
            Map<String, Counts[][]> cellWindows, Map<String, Counts[][]> zoneWindows) {
        zoneWindows.forEach(
                (kind, windows) -> {
                    Counts[][] sums =
                            cellWindows.computeIfAbsent(kind, key -> new Counts[windows.length][]);
                    for (int index = 0; index < windows.length; index++) {
                        sums[index] = Counts.sum(sums[index], windows[index]);
                    }
                });
    }

    /** Returns the assessment of a target at the time of this detector. */
    TargetAssessment assess(Endpoint target) {
        Counts outcomes = outcomes(target, WindowedCounts.LONGEST_WINDOW);
        double bound = bound(outcomes.total());
        ZoneSum worst = worstFailure(target, bound);
        double localScore = mLocalScores.score(target).maxFailure();
        return new TargetAssessment(
                isConclusive(worst, bound),
                isSlow(target, bound),
                failsLocally(target, localScore),
                worst.mTotal,
                localScore,
                bound,
                outcomes(target, WindowedCounts.EIGHT_SECONDS).failureShare(),
                recentLatencyRatio(target),
                outcomes);
    }

    private boolean failsLocally(Endpoint target, double localScore) {
        // While no other zone reports, the local evidence is the evidence of the cell.
        int localRequests =
                mLocalScores.score(target).window(WindowedCounts.LONGEST_WINDOW).outcomes().total();
        return mOtherZonesReporting && localScore >= bound(localRequests);
    }

    private double bound(int requests) {
        double windowsPerHour = HOUR_MILLIS / WindowedCounts.longestWindowMillis();
        double boundPerTest =
                LikelihoodRatioTest.bound(
                        mPolicy.falseEjectionTolerance(), requests * windowsPerHour);
        // Each severity is a separate test with its own false positives.
        return boundPerTest + Math.log(FailureSeverity.values().length);
    }

    /** Returns the highest conclusive sum; the highest sum if none is conclusive. */
    private ZoneSum worstFailure(Endpoint target, double bound) {
        ZoneSum worst = new ZoneSum();
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            for (FailureSeverity severity : FailureSeverity.values()) {
                ZoneSum sum = failure(target, window, severity);
                boolean conclusive = isConclusive(sum, bound);
                boolean worstConclusive = isConclusive(worst, bound);
                if (conclusive == worstConclusive ? sum.mTotal > worst.mTotal : conclusive) {
                    worst = sum;
                }
            }
        }
        return worst;
    }

    private boolean isConclusive(ZoneSum sum, double bound) {
        if (sum.mTotal < bound) {
            return false;
        }
        // A healthy target looks faulty to a VM or zone behind a one-way partition, so another zone
        // must confirm the fault if any other zone is reporting.
        return !mOtherZonesReporting || sum.mTotal - sum.mMaximum >= CORROBORATION_SHARE * bound;
    }

    private boolean isSlow(Endpoint target, double bound) {
        for (int window = WindowedCounts.TWO_SECONDS; window < WindowedCounts.WINDOWS; window++) {
            if (latencyRatio(target, window) >= SLOW_FACTOR_SHARE * mPolicy.slowFactor()
                    && isConclusive(slowness(target, window), bound)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the latency ratio over the shortest window with enough successes. */
    private double recentLatencyRatio(Endpoint target) {
        for (int window = WindowedCounts.ONE_SECOND;
                window < WindowedCounts.EIGHT_SECONDS;
                window++) {
            if (outcomes(target, window).mSuccesses >= MIN_SUCCESSES_FOR_RATIO) {
                return latencyRatio(target, window);
            }
        }
        return latencyRatio(target, WindowedCounts.EIGHT_SECONDS);
    }

    private double latencyRatio(Endpoint target, int window) {
        double excessLogLatency = 0;
        double variance = 0;
        int successes = 0;
        for (VantagePointScores zone : mZoneScores.values()) {
            TargetScore.WindowScore score = zone.score(target).window(window);
            excessLogLatency += score.excessLogLatency();
            variance += score.excessLogLatencyVariance();
            successes += score.outcomes().mSuccesses;
        }
        boolean significant =
                successes >= MIN_SUCCESSES_FOR_RATIO
                        && excessLogLatency >= MIN_DEVIATIONS_FOR_RATIO * Math.sqrt(variance);
        return significant ? Math.exp(excessLogLatency / successes) : 1;
    }

    private Counts outcomes(Endpoint target, int window) {
        Counts outcomes = new Counts();
        mZoneScores
                .values()
                .forEach(zone -> outcomes.add(zone.score(target).window(window).outcomes()));
        return outcomes;
    }

    private ZoneSum failure(Endpoint target, int window, FailureSeverity severity) {
        ZoneSum sum = new ZoneSum();
        mZoneScores
                .values()
                .forEach(zone -> sum.add(zone.score(target).window(window).failure(severity)));
        return sum;
    }

    private ZoneSum slowness(Endpoint target, int window) {
        ZoneSum sum = new ZoneSum();
        mZoneScores.values().forEach(zone -> sum.add(zone.score(target).window(window).slowness()));
        return sum;
    }

    /** The sum of the zones' scores and the highest of them. */
    private static final class ZoneSum {
        private double mTotal;
        private double mMaximum;

        private void add(double score) {
            mTotal += score;
            mMaximum = Math.max(mMaximum, score);
        }
    }
}
