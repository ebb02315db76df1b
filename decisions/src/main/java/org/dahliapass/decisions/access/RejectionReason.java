package org.dahliapass.decisions.access;

/** Why a request is not authenticated. */
public enum RejectionReason {
    /** The request has no Authorization header. */
    NO_KEY("the request has no key"),
    /** The request has several Authorization headers, of which targets may read another one. */
    SEVERAL_KEYS("the request has several Authorization headers"),
    /** The Authorization header has another scheme than Bearer, or no key. */
    UNSUPPORTED_SCHEME("the Authorization header has no bearer key"),
    /** No customer holds the key. */
    UNKNOWN_KEY("no customer holds the key"),
    /** The key may have been removed by a change that this VM has not received. */
    UNCONFIRMED_KEY("the configuration is too old to confirm the key") {
        @Override
        public boolean isDefinite() {
            return false;
        }
    };

    private final String mDescription;

    RejectionReason(String description) {
        mDescription = description;
    }

    /**
     * Returns whether the request is rejected for good if the configuration is the newest one;
     * otherwise the caller may retry it.
     */
    public boolean isDefinite() {
        return true;
    }

    /** Returns the reason as a phrase for logs. */
    public String description() {
        return mDescription;
    }
}
