package org.dahliapass.decisions.limits;

/** A token bucket whose rate and capacity may change. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double mTokens;
    private double mCapacity;
    private double mTokensPerMilli;
    private long mUpdatedMillis;

    /**
     * Creates a bucket.
     *
     * @param tokens the tokens at the time of its start
     * @param startMillis the time of its start, which may have passed, in milliseconds
     */
    TokenBucket(double tokens, long startMillis) {
        mTokens = tokens;
        mUpdatedMillis = startMillis;
    }

    /** Adds the tokens since the last call at a new rate, up to a new capacity. */
    void refill(double tokensPerSecond, double capacity, long nowMillis) {
        mTokensPerMilli = tokensPerSecond / MILLIS_PER_SECOND;
        mCapacity = capacity;
        mTokens = tokensAt(nowMillis);
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }

    private double tokensAt(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
        return Math.min(mCapacity, mTokens + elapsedMillis * mTokensPerMilli);
    }

    double tokens() {
        return mTokens;
    }

    void setTokens(double tokens) {
        mTokens = tokens;
    }

    void remove(double tokens) {
        mTokens -= tokens;
    }

    /** Returns tokens that were not used. */
    void restore(double tokens) {
        mTokens = Math.min(mCapacity, mTokens + tokens);
    }

    boolean isFull(long nowMillis) {
        return tokensAt(nowMillis) >= mCapacity;
    }

    /** Returns the time until a number of tokens is available, in milliseconds. */
    long millisUntil(double tokens) {
        return (long) Math.ceil(Math.max(0, tokens - mTokens) / mTokensPerMilli);
    }
}
