package org.dahliapass.decisions.traffic;

/** Which attempt of a request a target is selected for. */
enum AttemptOrder {
    /** The first one; a rejection costs some milliseconds and the attempt. */
    FIRST(0.3),
    /** A retry or a hedge; a rejection may lose the request. */
    LATER(1);

    private final double mRejectionCost;

    AttemptOrder(double rejectionCost) {
        mRejectionCost = rejectionCost;
    }

    /** Returns the cost of a rejection of the attempt, as a loss probability. */
    double rejectionCost() {
        return mRejectionCost;
    }
}
