package org.dahliapass.model.routing;

import org.dahliapass.model.Idempotency;

/** The class of the requests on a route: their execution guarantee and response size. */
public enum RequestClass {
    /** May run any number of times; responses are small. */
    SAFE(Idempotency.IDEMPOTENT, false),
    /** May run at most once per client request. */
    AT_MOST_ONCE(Idempotency.AT_MOST_ONCE, false),
    /** May run any number of times; responses are large. */
    DOWNLOAD(Idempotency.IDEMPOTENT, true);

    private final Idempotency mIdempotency;
    private final boolean mBulky;

    RequestClass(Idempotency idempotency, boolean bulky) {
        mIdempotency = idempotency;
        mBulky = bulky;
    }

    /** Returns the execution guarantee of requests of this class. */
    public Idempotency idempotency() {
        return mIdempotency;
    }

    /** Returns whether responses are large. */
    public boolean bulky() {
        return mBulky;
    }
}
