package org.dahliapass.decisions.health;

import java.util.Collection;
import java.util.HashMap;
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
final class Detector {
    /** The part of the bound that the evidence must reach without the zone that blames most. */
    private static final double CORROBORATION_SHARE = 0.4;

    private static final double HOUR_MILLIS = 3_600_000;
    private static final double MINUTE_MILLIS = 60_000;

    /** Slowness in shorter windows may be one burst. */
    private static final int SHORTEST_SLOW_WINDOW = 2;

    /** A straggler must measure at least this part of the slow factor. */
    private static final double SLOW_FACTOR_SHARE = 0.8;

    private static final int LEAST_WORK_FOR_RATIO = 10;

    private final DetectionPolicy mPolicy;
    private final Map<String, PlaceScores> mZones = new HashMap<>();
    private final PlaceScores mOwn;
    private final boolean mOthersReport;

    /**
     * Scores the evidence.
     *
     * @param zones the zones that saw work, this VM's own among them
     * @param othersReport whether a VM of another zone reports at present
     * @param baselineTargets the targets that tell what is normal
     */
    Detector(
            DetectionPolicy policy,
            EvidenceTable table,
            Collection<String> zones,
            boolean othersReport,
            Set<Endpoint> baselineTargets,
            long nowMillis) {
        mPolicy = policy;
        mOthersReport = othersReport;
        mOwn = PlaceScores.of(table, EvidenceTable.OWN, baselineTargets, policy, nowMillis);
        for (String zone : zones) {
            mZones.put(zone, PlaceScores.of(table, zone, baselineTargets, policy, nowMillis));
        }
    }

    /** Returns what the evidence says of a target. */
    Verdict verdict(Endpoint target) {
        Counts work = work(target, WorkHistory.LONGEST);
        TargetScore own = mOwn.score(target);
        double bound = bound(work.total(), HOUR_MILLIS);
        double ownScore = own.highestFailure();
        // While nobody else reports, own evidence is the cell's: it ejects, at the stricter bound.
        boolean failsHere =
                mOthersReport
                        && ownScore >= bound(own.work(WorkHistory.LONGEST).total(), MINUTE_MILLIS);
        double highest = 0;
        boolean failing = false;
        for (int window = 0; window < WorkHistory.WINDOWS; window++) {
            Sum failure = failure(target, window);
            highest = Math.max(highest, failure.mTotal);
            failing |= decides(failure, bound);
        }
        return new Verdict(
                failing,
                isSlow(target, bound),
                failsHere,
                highest,
                ownScore,
                bound,
                latencyRatio(target, WorkHistory.EIGHT_SECONDS),
                work);
    }

    private double bound(int piecesOfWork, double spanMillis) {
        double spans = spanMillis / WorkHistory.windowMillis(WorkHistory.LONGEST);
        return LikelihoodTest.bound(mPolicy.falseEjectionTolerance(), piecesOfWork * spans);
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
        for (int window = SHORTEST_SLOW_WINDOW; window < WorkHistory.WINDOWS; window++) {
            if (latencyRatio(target, window) >= SLOW_FACTOR_SHARE * mPolicy.slowFactor()
                    && decides(slowness(target, window), bound)) {
                return true;
            }
        }
        return false;
    }

    private double latencyRatio(Endpoint target, int window) {
        double excessLog = 0;
        int successes = 0;
        for (PlaceScores zone : mZones.values()) {
            TargetScore score = zone.score(target);
            excessLog += score.excessLog(window);
            successes += score.work(window).mSuccesses;
        }
        return successes < LEAST_WORK_FOR_RATIO ? 1 : Math.exp(excessLog / successes);
    }

    private Counts work(Endpoint target, int window) {
        Counts work = new Counts();
        for (PlaceScores zone : mZones.values()) {
            work.add(zone.score(target).work(window));
        }
        return work;
    }

    private Sum failure(Endpoint target, int window) {
        Sum sum = new Sum();
        mZones.values().forEach(zone -> sum.add(zone.score(target).failure(window)));
        return sum;
    }

    private Sum slowness(Endpoint target, int window) {
        Sum sum = new Sum();
        mZones.values().forEach(zone -> sum.add(zone.score(target).slowness(window)));
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
