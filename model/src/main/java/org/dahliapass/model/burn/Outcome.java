package org.dahliapass.model.burn;

/** The outcome of a request as observed by its caller. */
public enum Outcome {
    /** The complete response was sent in time. */
    GOOD(0) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.good();
        }
    },
    /** A complete error response of the target was sent. */
    FAILED(1) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.failed();
        }
    },
    /** The request was rejected and did not run. */
    REFUSED(2) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.refused();
        }
    },
    /** The caller was informed that the request may or may not have run. */
    UNKNOWN(3) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.unknown();
        }
    },
    /** The complete response was sent, but began later than the template allows. */
    LATE(4) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.late();
        }
    },
    /** The response body was truncated. */
    CUT(5) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.cut();
        }
    };

    private final int mIndex;

    Outcome(int index) {
        mIndex = index;
    }

    /** Returns the index of this outcome's counter, starting at 0 without gaps. */
    int index() {
        return mIndex;
    }

    /** Returns the number of requests with this outcome in a bucket. */
    abstract long countIn(ErrorBudgetBucket bucket);
}
