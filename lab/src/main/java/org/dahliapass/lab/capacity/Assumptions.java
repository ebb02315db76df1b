package org.dahliapass.lab.capacity;

/**
 * Inputs of the cost projection that are neither specified nor measured.
 *
 * @param guardedShare share of requests executed at most once
 * @param callersPerCustomer client processes per customer, each of which discovers one service
 * @param bodyBytes bytes of a guarded operation's response body, stored by home and witness
 * @param kinds request kinds per service
 * @param evidenceBytesPerSecond the setting {@code evidence-budget}, in bytes per second
 */
record Assumptions(
        double guardedShare,
        double callersPerCustomer,
        double bodyBytes,
        int kinds,
        double evidenceBytesPerSecond) {
    /** The default assumptions. */
    static final Assumptions DEFAULTS = new Assumptions(0.05, 1, 256, 3, 16 * 1024);

    /** Returns a copy with a different share of guarded requests. */
    Assumptions withGuardedShare(double share) {
        return new Assumptions(share, callersPerCustomer, bodyBytes, kinds, evidenceBytesPerSecond);
    }

    /** Returns a copy with a different evidence budget, in bytes per second. */
    Assumptions withEvidenceBytesPerSecond(double bytes) {
        return new Assumptions(guardedShare, callersPerCustomer, bodyBytes, kinds, bytes);
    }
}
