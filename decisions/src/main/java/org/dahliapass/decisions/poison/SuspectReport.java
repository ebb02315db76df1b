package org.dahliapass.decisions.poison;

import java.util.List;
import org.dahliapass.model.RequestDigest;

/**
 * What one VM tells another of a request under which targets ended.
 *
 * @param digest the request
 * @param crashes the targets that ended under it, as far as the VM knows
 * @param quarantined whether the VM keeps it from all targets
 * @param answered whether a target has answered it since, which clears it
 */
public record SuspectReport(
        RequestDigest digest, List<TargetCrash> crashes, boolean quarantined, boolean answered) {
    /** Copies the list. */
    public SuspectReport {
        crashes = List.copyOf(crashes);
    }
}
