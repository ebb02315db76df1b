package org.dahliapass.decisions.limits;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * What this VM knows of a target that names a request limit or did so recently. Not thread-safe.
 */
final class LimitedTarget {
    /**
     * The lowest rate that all VMs together use, in requests per second. Without any request, a VM
     * would not learn that a limit was lifted.
     */
    private static final double MIN_REQUESTS_PER_SECOND = 0.5;

    /** The time after the latest statement from which any VM tries the target. */
    static final long CONFIRMATION_MILLIS = 5_000;

    /** How long reports repeat that a limit was lifted, since single ones may be lost. */
    private static final long LIFTED_MILLIS = 5_000;

    /** The requests that a VM may send at once, as seconds of its share. */
    private static final double BURST_SECONDS = 0.25;

    /** A smaller bucket would never admit a request. */
    private static final double MIN_CAPACITY = 1;

    /** Without any, all targets that name a limit at the same moment are out of use for a while. */
    private static final double INITIAL_TOKENS = 1;

    private final LimitShare mShare;
    private final RandomGenerator mRandom;
    private final Map<LimitMargin, TokenBucket> mBuckets = new EnumMap<>(LimitMargin.class);

    private LimitStatement mStatement = LimitStatement.UNLIMITED;
    private long mStatedMillis = Long.MIN_VALUE / 2;
    private long mConfirmedMillis;
    private boolean mIsUnreported;
    private boolean mIsTried;

    /**
     * Creates the state of a target without a limit.
     *
     * @param share this VM's share of the limit
     * @param random spreads the VMs' trials of an unconfirmed limit
     */
    LimitedTarget(LimitShare share, RandomGenerator random, long nowMillis) {
        mShare = share;
        mRandom = random;
        for (LimitMargin margin : LimitMargin.values()) {
            mBuckets.put(margin, new TokenBucket(INITIAL_TOKENS, nowMillis));
        }
    }

    /** Returns whether the target has a limit, by the latest statement. */
    boolean isLimited() {
        return mStatement instanceof LimitStatement.Limited;
    }

    /** Returns whether this VM may send the target a request now. */
    boolean allows(LimitMargin margin, long nowMillis) {
        refill(nowMillis);
        return !isLimited() || mBuckets.get(margin).tokens() >= 1;
    }

    /** Takes the tokens of a request that is sent. */
    void onSent(long nowMillis) {
        refill(nowMillis);
        for (TokenBucket bucket : mBuckets.values()) {
            bucket.setTokens(Math.max(0, bucket.tokens() - 1));
        }
    }

    /** Records that the target still has a limit. */
    void confirm(long nowMillis) {
        mConfirmedMillis = nowMillis;
    }

    /**
     * Applies a limit that a response to this VM names.
     *
     * @param sentMillis when the request was sent, in milliseconds
     * @return the change; empty if there is none
     */
    Optional<LimitChange> onLimited(
            LimitStatement.Limited limited, long sentMillis, long nowMillis) {
        confirm(nowMillis);
        boolean isRaised =
                mStatement instanceof LimitStatement.Limited known
                        && limited.requestsPerSecond() > known.requestsPerSecond();
        // A response to an earlier request may have been created before the limit was lowered.
        if (isRaised && sentMillis < mStatedMillis) {
            return Optional.empty();
        }
        mIsUnreported = true;
        return set(limited, nowMillis, nowMillis);
    }

    /**
     * Applies a success of this VM that names no limit.
     *
     * @param sentMillis when the request was sent, in milliseconds
     * @return the change; empty if there is none
     */
    Optional<LimitChange> onUnlimited(long sentMillis, long nowMillis) {
        if (sentMillis < mStatedMillis) {
            return Optional.empty();
        }
        mIsUnreported = true;
        return set(LimitStatement.UNLIMITED, sentMillis, nowMillis);
    }

    /** Applies another VM's statement if it is the latest. */
    Optional<LimitChange> onPeerReport(LimitReport report, long nowMillis) {
        return report.statedMillis() <= mStatedMillis
                ? Optional.empty()
                : set(report.statement(), report.statedMillis(), nowMillis);
    }

    private Optional<LimitChange> set(LimitStatement statement, long statedMillis, long nowMillis) {
        LimitStatement before = mStatement;
        boolean isChanged = !statement.equals(before);
        if (isChanged) {
            refill(nowMillis);
        }
        mStatement = statement;
        mStatedMillis = statedMillis;
        if (isLimited() || isChanged) {
            mConfirmedMillis = Math.max(mConfirmedMillis, statedMillis);
        }
        return isChanged ? Optional.of(new LimitChange(before, statement)) : Optional.empty();
    }

    /** Returns what this VM's responses said since the last call. */
    Optional<LimitReport> takeReport() {
        if (!mIsUnreported) {
            return Optional.empty();
        }
        mIsUnreported = false;
        return Optional.of(new LimitReport(mStatement, mStatedMillis));
    }

    /** Returns whether the limit was lifted so long ago that all VMs know it. */
    boolean isForgettable(long nowMillis) {
        return !isLimited() && nowMillis - mConfirmedMillis > LIFTED_MILLIS;
    }

    private void refill(long nowMillis) {
        if (!(mStatement instanceof LimitStatement.Limited limited)) {
            return;
        }
        boolean isTried = nowMillis - mConfirmedMillis > CONFIRMATION_MILLIS;
        if (isTried && !mIsTried) {
            spreadTrials();
        }
        mIsTried = isTried;
        double limit = limited.requestsPerSecond();
        double share = mShare.of(limit, nowMillis);
        double trials = MIN_REQUESTS_PER_SECOND * mShare.ofAnyVm();
        mBuckets.forEach(
                (margin, bucket) -> {
                    double total =
                            Math.max(MIN_REQUESTS_PER_SECOND, margin.requestsPerSecond(limit));
                    refill(bucket, isTried ? trials : share * total, nowMillis);
                });
    }

    /** Keeps the VMs from trying the target at the same moment. */
    private void spreadTrials() {
        double tokens = mRandom.nextDouble();
        mBuckets.values().forEach(bucket -> bucket.setTokens(tokens));
    }

    private static void refill(TokenBucket bucket, double perSecond, long nowMillis) {
        double capacity = Math.max(MIN_CAPACITY, perSecond * BURST_SECONDS);
        bucket.refill(perSecond, perSecond > 0 ? capacity : 0, nowMillis);
    }
}
