package org.dahliapass.lab.capacity;

/**
 * What neither the letter says nor a measurement shows.
 *
 * @param guardedShare share of the requests that run at most once
 * @param callersPerCustomer processes of a customer that ask, each for one service
 * @param bodyBytes body of a guarded operation's answer, which home and witness keep
 * @param kinds request kinds of a service
 * @param evidenceBytes the setting {@code evidence-budget}, bytes a second
 */
record Assumptions(
        double guardedShare,
        double callersPerCustomer,
        double bodyBytes,
        int kinds,
        double evidenceBytes) {
    /** What the page takes. */
    static final Assumptions PAGE = new Assumptions(0.05, 1, 256, 3, 16 * 1024);

    /** Returns the same with another share of guarded requests. */
    Assumptions withGuardedShare(double share) {
        return new Assumptions(share, callersPerCustomer, bodyBytes, kinds, evidenceBytes);
    }

    /** Returns the same with another setting of the evidence budget. */
    Assumptions withEvidenceBytes(double bytes) {
        return new Assumptions(guardedShare, callersPerCustomer, bodyBytes, kinds, bytes);
    }
}
