package org.dahliapass.decisions.poison;

import java.util.List;
import org.dahliapass.model.RequestDigest;

/**
 * One VM's report to another VM on a request during which targets crashed.
 *
 * @param digest the request's digest
 * @param crashes the crashes that the VM knows of
 * @param quarantined whether the VM has quarantined the request
 * @param answered whether a target has responded to it since, which clears the suspicion
 */
public record SuspectReport(
        RequestDigest digest, List<TargetCrash> crashes, boolean quarantined, boolean answered) {
    /** Copies the list. */
    public SuspectReport {
        crashes = List.copyOf(crashes);
    }
}
