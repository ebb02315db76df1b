package org.dahliapass.http;

/** Counts the bytes of one response and its interim responses. */
final class ResponseBytes {
    /** Exceeds two heads of the maximum size. */
    private static final long MAX_OVERHEAD_BYTES = 160 * 1024;

    /** Allows for chunks of a single byte, whose framing takes five. */
    private static final long OVERHEAD_PER_BODY_BYTE = 8;

    private long mOverhead;
    private long mBody;

    /** Adds bytes that belong to no body. */
    void onOverhead(long bytes) {
        mOverhead += bytes;
    }

    /** Adds bytes that belong to the body. */
    void onBody(long bytes) {
        mBody += bytes;
    }

    /**
     * Returns whether too many bytes belong to no body: interim responses, heads, chunk sizes with
     * their extensions, and trailers, each of which could go on without end.
     */
    boolean exceedsLimit() {
        return mOverhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * mBody;
    }
}
