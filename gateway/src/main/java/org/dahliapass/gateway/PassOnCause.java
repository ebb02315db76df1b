package org.dahliapass.gateway;

import java.util.Locale;

/**
 * The resource of its own for lack of which a VM has a request served by another VM.
 *
 * <p>A request that is passed on uses the traffic thread and the memory for its response about as
 * much as one that is served here, so a VM that is short of them passes on only a few.
 */
enum PassOnCause {
    /** Too many requests wait for the traffic thread. */
    THREAD(8),
    /** Memory is short; a response may hold an eighth of the memory. */
    MEMORY(2);

    private final int mMaxInFlight;

    PassOnCause(int maxInFlight) {
        mMaxInFlight = maxInFlight;
    }

    /** Returns the maximum number of requests that are passed on at the same time. */
    int maxInFlight() {
        return mMaxInFlight;
    }

    /** Returns the name in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
