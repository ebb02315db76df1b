package org.dahliapass.model.routing;

import org.dahliapass.model.Idempotency;

/** What the operator says of the requests on a route: whether they may repeat, and their size. */
public enum RequestClass {
    /** May run any number of times; answers are small. */
    SAFE(Idempotency.IDEMPOTENT, false),
    /** May run once at most for each attempt of a client. */
    AT_MOST_ONCE(Idempotency.AT_MOST_ONCE, false),
    /** May run any number of times; answers are large. */
    DOWNLOAD(Idempotency.IDEMPOTENT, true);

    private final Idempotency mIdempotency;
    private final boolean mBulky;

    RequestClass(Idempotency idempotency, boolean bulky) {
        mIdempotency = idempotency;
        mBulky = bulky;
    }

    /** Returns whether requests of this class may run more than once. */
    public Idempotency idempotency() {
        return mIdempotency;
    }

    /** Returns whether answers are large. */
    public boolean bulky() {
        return mBulky;
    }
}
