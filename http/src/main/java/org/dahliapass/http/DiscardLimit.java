package org.dahliapass.http;

/** Bounds how long and how much is read of a client whose input is discarded. */
final class DiscardLimit {
    /** Exceeds what a client has under way when it receives the response. */
    static final long MAX_BYTES = 1024 * 1024;

    /** The time in which a client that reads slowly receives the rest of a response. */
    static final long MAX_MILLIS = 5_000;

    private final long mEndMillis;
    private long mBytes;

    DiscardLimit(long nowMillis) {
        mEndMillis = nowMillis + MAX_MILLIS;
    }

    /** Adds to the number of discarded bytes and returns whether it exceeds the limit. */
    boolean exceedsWith(long bytes) {
        mBytes += bytes;
        return mBytes > MAX_BYTES;
    }

    /** Returns whether the time is over. */
    boolean isExpired(long nowMillis) {
        return nowMillis >= mEndMillis;
    }
}
