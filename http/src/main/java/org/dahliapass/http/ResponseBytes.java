package org.dahliapass.http;

/** Counts the bytes of one response, its interim responses and what arrives behind it. */
final class ResponseBytes {
    /** Exceeds two heads of the maximum size. */
    private static final long MAX_OVERHEAD_BYTES = 160 * 1024;

    /** Allows for chunks of a single byte, whose framing takes five. */
    private static final long OVERHEAD_PER_BODY_BYTE = 8;

    private long mDecoded;
    private long mBody;
    private boolean mEnded;
    private boolean mHasBytesBehind;

    /** Adds bytes that were decoded. */
    void onDecoded(long bytes) {
        mDecoded += bytes;
        mHasBytesBehind |= mEnded && bytes > 0;
    }

    /** Adds the decoded bytes that belong to the body. */
    void onBody(long bytes) {
        mBody += bytes;
    }

    /** Records the end of the response. */
    void onEnd() {
        mEnded = true;
    }

    /** Returns whether bytes were decoded behind the end of the response. */
    boolean hasBytesBehind() {
        return mHasBytesBehind;
    }

    /**
     * Returns whether too many bytes belong to no body: interim responses, empty lines, heads,
     * chunk sizes with their extensions, and trailers, each of which could go on without end.
     */
    boolean exceedsLimit() {
        return mDecoded - mBody > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * mBody;
    }
}
