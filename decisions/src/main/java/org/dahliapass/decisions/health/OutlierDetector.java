package org.dahliapass.decisions.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;

/**
 * Tells sick targets from failing paths, on the work that the VMs of a cell saw.
 *
 * <p>Each availability zone's evidence is scored against the same zone's work on the other targets,
 * so a zone or VM with a bad network finds all targets alike and blames none. Then the scores are
 * added. A path fault shows as one zone that blames a target while the others do well with it: the
 * sum without the zone that blames most stays low. So a target counts as sick only if that rest,
 * too, speaks against it; two VMs of different zones have then seen it.
 */
final class OutlierDetector {
    /** The part of the bound that the evidence must reach without the zone that blames most. */
    private static final double CORROBORATION_SHARE = 0.4;

    private static final double HOUR_MILLIS = 3_600_000;

    /** A straggler must measure at least this part of the slow factor. */
    private static final double SLOW_FACTOR_SHARE = 0.8;

    /** The least good work, and standard deviations from the peers, for a latency ratio. */
    private static final int LEAST_WORK_FOR_RATIO = 3;

    private static final double DEVIATIONS_FOR_RATIO = 4;

    private final DetectionPolicy mPolicy;
    private final Map<String, VantagePointScores> mZones = new HashMap<>();
    private final VantagePointScores mOwn;
    private final boolean mOthersReport;

    /**
     * Scores the evidence.
     *
     * @param zones the zones that saw work, this VM's own among them
     * @param othersReport whether a VM of another zone reports at present
     * @param baselineTargets the targets that tell what is normal
     */
    OutlierDetector(
            DetectionPolicy policy,
            EvidenceTable table,
            Collection<String> zones,
            boolean othersReport,
            List<Endpoint> targets,
            Set<Endpoint> baselineTargets,
            long nowMillis) {
        mPolicy = policy;
        mOthersReport = othersReport;
        Map<String, Counts[][]> everywhere = new HashMap<>();
        for (String zone : zones) {
            Map<String, Counts[][]> seen = table.windows(zone, targets, nowMillis);
            addTo(everywhere, seen);
            mZones.put(zone, VantagePointScores.forZone(seen, targets, baselineTargets, policy));
        }
        mOwn =
                VantagePointScores.forLocalVm(
                        table.windows(EvidenceTable.LOCAL_VM, targets, nowMillis),
                        everywhere,
                        targets,
                        baselineTargets,
                        policy);
    }

    private static void addTo(Map<String, Counts[][]> everywhere, Map<String, Counts[][]> seen) {
        seen.forEach(
                (kind, windows) -> {
                    Counts[][] sums =
                            everywhere.computeIfAbsent(kind, key -> new Counts[windows.length][]);
                    for (int index = 0; index < windows.length; index++) {
                        sums[index] = Counts.sum(sums[index], windows[index]);
                    }
                });
    }

    /** Returns what the evidence says of a target. */
    TargetAssessment assess(Endpoint target) {
        Counts work = work(target, WindowedCounts.LONGEST_WINDOW);
        double bound = bound(work.total());
        Sum worst = worstFailure(target, bound);
        double ownScore = mOwn.score(target).highestFailure();
        return new TargetAssessment(
                decides(worst, bound),
                isSlow(target, bound),
                failsHere(target, ownScore),
                worst.mTotal,
                ownScore,
                bound,
                work(target, WindowedCounts.EIGHT_SECONDS).failureShare(),
                presentLatencyRatio(target),
                work);
    }

    private boolean failsHere(Endpoint target, double ownScore) {
        // While nobody else reports, own evidence is the cell's: it ejects.
        int ownWork = mOwn.score(target).window(WindowedCounts.LONGEST_WINDOW).work().total();
        return mOthersReport && ownScore >= bound(ownWork);
    }

    private double bound(int piecesOfWork) {
        double spans = HOUR_MILLIS / WindowedCounts.longestWindowMillis();
        double single =
                LikelihoodRatioTest.bound(mPolicy.falseEjectionTolerance(), piecesOfWork * spans);
        // Each sickness is a test of its own, and each may err.
        return single + Math.log(FailureSeverity.values().length);
    }

    /** Returns the highest sum that decides; if none does, the highest. */
    private Sum worstFailure(Endpoint target, double bound) {
        Sum worst = new Sum();
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            for (FailureSeverity sickness : FailureSeverity.values()) {
                Sum sum = failure(target, window, sickness);
                boolean decides = decides(sum, bound);
                boolean worstDecides = decides(worst, bound);
                if (decides == worstDecides ? sum.mTotal > worst.mTotal : decides) {
                    worst = sum;
                }
            }
        }
        return worst;
    }

    private boolean decides(Sum sum, double bound) {
        if (sum.mTotal < bound) {
            return false;
        }
        // Guards against a one-way partition of one VM or zone, which looks like a sick target from
        // there. While nobody else reports, nobody can contradict, and own evidence decides.
        return !mOthersReport || sum.mTotal - sum.mHighest >= CORROBORATION_SHARE * bound;
    }

    private boolean isSlow(Endpoint target, double bound) {
        for (int window = WindowedCounts.TWO_SECONDS; window < WindowedCounts.WINDOWS; window++) {
            if (latencyRatio(target, window) >= SLOW_FACTOR_SHARE * mPolicy.slowFactor()
                    && decides(slowness(target, window), bound)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the ratio in the shortest window that has enough work to tell. */
    private double presentLatencyRatio(Endpoint target) {
        for (int window = WindowedCounts.ONE_SECOND;
                window < WindowedCounts.EIGHT_SECONDS;
                window++) {
            if (work(target, window).mSuccesses >= LEAST_WORK_FOR_RATIO) {
                return latencyRatio(target, window);
            }
        }
        return latencyRatio(target, WindowedCounts.EIGHT_SECONDS);
    }

    private double latencyRatio(Endpoint target, int window) {
        double excessLog = 0;
        double variance = 0;
        int successes = 0;
        for (VantagePointScores zone : mZones.values()) {
            TargetScore.WindowScore score = zone.score(target).window(window);
            excessLog += score.excessLog();
            variance += score.excessVariance();
            successes += score.work().mSuccesses;
        }
        boolean clear =
                successes >= LEAST_WORK_FOR_RATIO
                        && excessLog >= DEVIATIONS_FOR_RATIO * Math.sqrt(variance);
        return clear ? Math.exp(excessLog / successes) : 1;
    }

    private Counts work(Endpoint target, int window) {
        Counts work = new Counts();
        mZones.values().forEach(zone -> work.add(zone.score(target).window(window).work()));
        return work;
    }

    private Sum failure(Endpoint target, int window, FailureSeverity sickness) {
        Sum sum = new Sum();
        mZones.values()
                .forEach(zone -> sum.add(zone.score(target).window(window).failure(sickness)));
        return sum;
    }

    private Sum slowness(Endpoint target, int window) {
        Sum sum = new Sum();
        mZones.values().forEach(zone -> sum.add(zone.score(target).window(window).slowness()));
        return sum;
    }

    /** The zones' scores added up, and the highest of them. */
    private static final class Sum {
        private double mTotal;
        private double mHighest;

        private void add(double score) {
            mTotal += score;
            mHighest = Math.max(mHighest, score);
        }
    }
}
