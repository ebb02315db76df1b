package org.dahliapass.decisions.health;

import java.util.Locale;

/**
 * What the evidence says of one target.
 *
 * @param failing it fails on the evidence of the cell
 * @param slow it is a straggler on the evidence of the cell
 * @param failingLocally it fails for this VM
 * @param score the highest failure score of the cell's evidence
 * @param localScore the highest failure score of this VM's evidence
 * @param bound the score from which a target counts as sick
 * @param failureShare the share of its work that failed of late
 * @param latencyRatio its present latency over its peers', 1 if no difference is clear
 * @param work the work of the longest window, all of the cell's
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
        Counts work) {

    /** Returns whether the evidence, though it decides nothing, speaks against the target. */
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
                work.mFailures,
                work.total(),
                latencyRatio);
    }
}
