package org.dahliapass.decisions.traffic;

/** How a piece of work ended, by how likely that is in a bout of the target and without one. */
public enum Observation {
    /** A whole answer in good time. */
    ANSWERED(true, false) {
        @Override
        double likelihoodWhenFailing(FailureModel rates) {
            return 1 - rates.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel rates) {
            return 1 - rates.failureRateWhenHealthy();
        }
    },
    /** An error that the target itself answered. */
    ERROR(true, true) {
        @Override
        double likelihoodWhenFailing(FailureModel rates) {
            return rates.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel rates) {
            return rates.failureRateWhenHealthy();
        }
    },
    /** A connection that broke before the whole answer: the target, or the path to it. */
    BROKEN(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel rates) {
            return rates.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel rates) {
            return rates.failureRateWhenHealthy();
        }
    },
    /** No answer at all: the target, or the path to it. */
    SILENT(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel rates) {
            return rates.failureRateWhenFailing() * rates.silentShareWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel rates) {
            return rates.failureRateWhenHealthy() / 2;
        }
    },
    /** Given up as unusually late: slow targets and long work look so. */
    LATE(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel rates) {
            return Math.sqrt(SILENT.likelihoodWhenFailing(rates));
        }

        @Override
        double likelihoodWhenHealthy(FailureModel rates) {
            return Math.sqrt(SILENT.likelihoodWhenHealthy(rates));
        }
    };

    private final boolean mCameBack;
    private final boolean mFailure;

    Observation(boolean cameBack, boolean failure) {
        mCameBack = cameBack;
        mFailure = failure;
    }

    /** Returns how likely this end is in a bout. */
    abstract double likelihoodWhenFailing(FailureModel rates);

    /** Returns how likely this end is at a sound target over a sound path. */
    abstract double likelihoodWhenHealthy(FailureModel rates);

    /** Returns whether an answer came, which proves the path to the target. */
    public boolean hasResponse() {
        return mCameBack;
    }

    /** Returns whether this speaks against the target. */
    public boolean isFailure() {
        return mFailure;
    }
}
