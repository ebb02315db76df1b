package org.dahliapass.lab.capacity;

/**
 * What neither the letter says nor a measurement shows.
 *
 * @param guardedShare share of the requests that run at most once
 * @param callersPerCustomer processes of a customer that ask, each for one service
 * @param latencyMillis mean time that a target needs for an answer
 * @param bodyBytes body of a guarded operation's answer, which home and witness keep
 * @param kinds request kinds of a service
 */
record Assumptions(
        double guardedShare,
        double callersPerCustomer,
        double latencyMillis,
        double bodyBytes,
        int kinds) {
    /** What the page takes. */
    static final Assumptions PAGE = new Assumptions(0.05, 1, 100, 256, 3);

    /** Returns the same with another share of guarded requests. */
    Assumptions withGuardedShare(double share) {
        return new Assumptions(share, callersPerCustomer, latencyMillis, bodyBytes, kinds);
    }
}
