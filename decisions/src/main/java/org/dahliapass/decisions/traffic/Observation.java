package org.dahliapass.decisions.traffic;

/** The observed outcome of an attempt, with its likelihoods in the two-state failure model. */
public enum Observation {
    /** A complete response in time. */
    ANSWERED(true, false) {
        @Override
        double likelihoodWhenFailing(FailureModel model) {
            return 1 - model.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel model) {
            return 1 - model.failureRateWhenHealthy();
        }
    },
    /** An error response of the target. */
    ERROR(true, true) {
        @Override
        double likelihoodWhenFailing(FailureModel model) {
            return model.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel model) {
            return model.failureRateWhenHealthy();
        }
    },
    /**
     * A connection that broke before the complete response, caused by the target or the network
     * path.
     */
    BROKEN(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel model) {
            return model.failureRateWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel model) {
            return model.failureRateWhenHealthy();
        }
    },
    /** No response, caused by the target or the network path. */
    SILENT(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel model) {
            return model.failureRateWhenFailing() * model.silentShareWhenFailing();
        }

        @Override
        double likelihoodWhenHealthy(FailureModel model) {
            return model.failureRateWhenHealthy() / 2;
        }
    },
    /** Cancelled as overdue; a slow target or a long request looks the same. */
    LATE(false, true) {
        @Override
        double likelihoodWhenFailing(FailureModel model) {
            return Math.sqrt(SILENT.likelihoodWhenFailing(model));
        }

        @Override
        double likelihoodWhenHealthy(FailureModel model) {
            return Math.sqrt(SILENT.likelihoodWhenHealthy(model));
        }
    };

    private final boolean mHasResponse;
    private final boolean mFailure;

    Observation(boolean hasResponse, boolean failure) {
        mHasResponse = hasResponse;
        mFailure = failure;
    }

    /** Returns the likelihood of this outcome at a failing target. */
    abstract double likelihoodWhenFailing(FailureModel model);

    /** Returns the likelihood of this outcome at a healthy target over a healthy network path. */
    abstract double likelihoodWhenHealthy(FailureModel model);

    /** Returns the likelihood ratio of this outcome at a failing and at a healthy target. */
    double ratio(FailureModel model) {
        return likelihoodWhenFailing(model) / likelihoodWhenHealthy(model);
    }

    /** Returns whether a response arrived, which proves that the network path works. */
    public boolean hasResponse() {
        return mHasResponse;
    }

    /** Returns whether the outcome counts against the target. */
    public boolean isFailure() {
        return mFailure;
    }
}
