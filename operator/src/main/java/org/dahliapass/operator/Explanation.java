package org.dahliapass.operator;

import java.time.Instant;

/**
 * An automatic action of a VM and its cause.
 *
 * @param atMillis the time of the action, in milliseconds since 1970 by the VM's clock
 * @param vm the VM's name
 * @param action the action taken
 * @param subject the target or other object of the action
 * @param cause the reason for the action
 * @param evidence the observed values
 * @param setting the setting that triggered the action
 */
public record Explanation(
        long atMillis,
        String vm,
        String action,
        String subject,
        String cause,
        String evidence,
        String setting) {

    /** Returns the explanation as one line. */
    public String describe() {
        return Instant.ofEpochMilli(atMillis)
                + " "
                + vm
                + " "
                + action
                + " "
                + subject
                + ": "
                + cause
                + "; evidence: "
                + evidence
                + "; setting: "
                + setting;
    }
}
