package org.dahliapass.decisions.acceptance;

/**
 * The requests of one VM that a target accepted and rejected since the VM's last report.
 *
 * @param accepted the accepted requests
 * @param rejected the rejected requests
 */
public record AcceptanceCounts(int accepted, int rejected) {
    /** No requests. */
    public static final AcceptanceCounts NONE = new AcceptanceCounts(0, 0);

    /** Returns whether there are no requests. */
    public boolean isEmpty() {
        return accepted == 0 && rejected == 0;
    }
}
