package org.dahliapass.decisions.memory;

/** How far a caller has read its response. */
public final class ReaderProgress {
    /**
     * What a caller has to read within the time after which it is slow, in bytes. Without it, a
     * caller that reads 1 KB a second would hold a response of 256 KiB for four minutes, however
     * short memory is.
     */
    private static final long MIN_BYTES = 16 * 1024;

    private long mUnwrittenBytes;
    private long mChangedBytes;
    private long mProgressMillis;

    /** Creates the progress of a response that is written from now on, in milliseconds. */
    public ReaderProgress(long nowMillis) {
        mProgressMillis = nowMillis;
    }

    /**
     * Records the bytes that the caller could have read and has not; returns for how long it has
     * read too little, in milliseconds. An increase counts, too, because a response that is
     * streamed grows only as its caller reads.
     */
    public long update(long unwrittenBytes, long nowMillis) {
        mChangedBytes += Math.abs(unwrittenBytes - mUnwrittenBytes);
        mUnwrittenBytes = unwrittenBytes;
        if (mChangedBytes >= MIN_BYTES || unwrittenBytes == 0) {
            mChangedBytes = 0;
            mProgressMillis = nowMillis;
        }
        return nowMillis - mProgressMillis;
    }
}
