package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/**
 * Tells cheaply, with each piece of work, whether the evidence should be weighed now.
 *
 * <p>It keeps one cumulative sum for each target, against a failure rate that is fixed between
 * weighings. It decides nothing: it only saves the wait for the next tick when a target begins to
 * fail most of its work.
 */
final class FailureTrigger {
    /** About two failures in a row where failures are rare. */
    private static final double BOUND = 8;

    private static final double SICK_SHARE = 0.7;

    private final Map<Endpoint, Double> mScores = new HashMap<>();
    private double mNullRate = 0.01;

    /** Sets the failure rate that is normal at present, from all recent work. */
    void setBaseline(Counts recent) {
        mNullRate = LikelihoodRatioTest.nullRate(recent);
    }

    /** Takes in work; returns whether the target looks as if it began to fail. */
    boolean add(TargetEvidence evidence, boolean own) {
        // Other VMs' regular reports tell of the past quarter of a second: good work in them must
        // not hide failures that came meanwhile.
        if (!own && evidence.failures() == 0) {
            return false;
        }
        Counts work = new Counts();
        work.add(evidence.successes(), evidence.failures(), 0, 0);
        double step = LikelihoodRatioTest.failureScore(work, mNullRate, SICK_SHARE);
        double score = Math.max(0, mScores.getOrDefault(evidence.target(), 0.0) + step);
        mScores.put(evidence.target(), score);
        return evidence.failures() > 0 && score >= BOUND;
    }
}
