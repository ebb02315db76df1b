package org.dahliapass.operator;

import java.time.Instant;

/**
 * One automatic action of a VM, and why it was taken.
 *
 * @param atMillis when, milliseconds since 1970 by the VM's clock
 * @param vm the VM's name
 * @param action what was done
 * @param subject to what it was done
 * @param cause why
 * @param evidence the figures behind it
 * @param setting the setting that led to it
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
