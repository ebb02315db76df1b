package org.dahliapass.decisions.health;

import java.util.Locale;

/**
 * The assessment of one target from the evidence of the cell and of the local VM.
 *
 * @param failing whether the target fails by the evidence of the cell
 * @param slow whether the target is a straggler by the evidence of the cell
 * @param failingLocally whether the target fails by the evidence of the local VM
 * @param score the highest failure score of the cell
 * @param localScore the highest failure score of the local VM
 * @param bound the score from which a target is considered faulty
 * @param failureShare the recent share of failed requests, 0 to 1
 * @param latencyRatio the recent latency relative to the peers; 1 if not significantly higher
 * @param outcomes the outcomes in the cell over the longest window
 */
record TargetAssessment(
        boolean failing,
        boolean slow,
        boolean failingLocally,
        double score,
        double localScore,
        double bound,
        double failureShare,
        double latencyRatio,
        Counts outcomes) {

    /** Returns whether the target may be faulty, even if the evidence is not conclusive. */
    boolean isSuspect() {
        return score > bound / 2 || localScore > bound / 2 || failing || slow || failingLocally;
    }

    String summary() {
        return String.format(
                Locale.ROOT,
                "score %.1f, own %.1f, bound %.1f; %d of %d failed; latency %.1f x peers",
                score,
                localScore,
                bound,
                outcomes.mFailures,
                outcomes.total(),
                latencyRatio);
    }
}
