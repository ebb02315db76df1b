package org.dahliapass.model.burn;

/** How one request ended, as its caller saw it. */
public enum Outcome {
    /** The whole answer went out in time. */
    GOOD(0) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.good();
        }
    },
    /** The caller got an error of the target's, whole. */
    FAILED(1) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.failed();
        }
    },
    /** The caller was told that the request was not run. */
    REFUSED(2) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.refused();
        }
    },
    /** The caller was told that nobody knows whether the request ran. */
    UNKNOWN(3) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.unknown();
        }
    },
    /** The whole answer went out, but began later than the template allows. */
    LATE(4) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.late();
        }
    },
    /** The answer's body ended early. */
    CUT(5) {
        @Override
        long countIn(ErrorBudgetBucket bucket) {
            return bucket.cut();
        }
    };

    private final int mPosition;

    Outcome(int position) {
        mPosition = position;
    }

    /** Returns this outcome's place among the counters of a span, from 0 without gaps. */
    int index() {
        return mPosition;
    }

    /** Returns how many requests of a bucket ended so. */
    abstract long countIn(ErrorBudgetBucket bucket);
}
