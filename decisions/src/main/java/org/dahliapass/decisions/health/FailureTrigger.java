package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/**
 * Triggers an early evaluation of the evidence when a target begins to fail.
 *
 * <p>Keeps a cumulative sum (CUSUM) for each target against a baseline that is fixed between
 * evaluations. The trigger only shortens the wait for the next tick; it ejects no target.
 */
final class FailureTrigger {
    /** About two consecutive failures if failures are rare. */
    private static final double TRIGGER_SCORE = 8;

    private static final double FAULTY_FAILURE_SHARE = 0.7;

    private final Map<Endpoint, Double> mScores = new HashMap<>();
    private double mNullRate = 0.01;

    /** Sets the baseline failure rate from all recent outcomes. */
    void setBaseline(Counts recent) {
        mNullRate = LikelihoodRatioTest.nullRate(recent);
    }

    /**
     * Adds outcomes and returns whether the target appears to have begun to fail.
     *
     * @param local whether the local VM observed the outcomes
     */
    boolean add(TargetEvidence evidence, boolean local) {
        // The successes in periodic reports of other VMs are older than recent failures and must
        // not offset them.
        if (!local && evidence.failures() == 0) {
            return false;
        }
        Counts counts = new Counts();
        counts.add(evidence.successes(), evidence.failures(), 0, 0);
        double step = LikelihoodRatioTest.failureScore(counts, mNullRate, FAULTY_FAILURE_SHARE);
        double score = Math.max(0, mScores.getOrDefault(evidence.target(), 0.0) + step);
        mScores.put(evidence.target(), score);
        return evidence.failures() > 0 && score >= TRIGGER_SCORE;
    }
}
