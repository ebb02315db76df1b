package org.dahliapass.decisions.acceptance;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * What is known of one target that rejected requests.
 *
 * <p>Acceptances and rejections count by their age. A target that sheds persistently keeps the
 * ratio of its last outcomes until it accepts some requests in succession, since it gets too few
 * requests to learn its ratio again. Not thread-safe.
 */
final class AcceptanceRecord {
    /** The age at which an outcome counts half, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 1_000;

    /** The weight of the assumption that a target accepts, in outcomes. */
    private static final double PRIOR_ACCEPTED = 1;

    /** Bounds the influence of reports, whether they are wrong or from a busy VM. */
    private static final double MAX_WEIGHT = 20;

    /** The outcomes after which a target may count as shedding persistently. */
    private static final int MIN_OUTCOMES = 5;

    /** The time within which these outcomes must have occurred, in milliseconds. */
    private static final long OUTCOMES_MILLIS = 2_000;

    /**
     * The time after which an attempt without a response counts as accepted, in milliseconds. A
     * target rejects a request before it executes it, so a rejection arrives within a few round
     * trips; the response may take seconds.
     */
    private static final long ACCEPTED_AFTER_MILLIS = 100;

    /**
     * The acceptances in succession after which a target no longer counts as shedding. One that
     * rejects 0.9 of its requests reaches them once in a thousand trials.
     */
    private static final int MIN_ACCEPTED_IN_SUCCESSION = 3;

    /** The share of the rejections that still count once the target accepts again. */
    private static final double REMAINING_REJECTED = 0.1;

    /** How long a full target gets no request unless it responds, in milliseconds. */
    private static final long FULL_MILLIS = 250;

    /** A record of less weight than this says nothing. */
    private static final double MIN_WEIGHT = 0.02;

    private final long mCreatedMillis;
    private final long[] mOutcomeMillis = new long[MIN_OUTCOMES];
    private final Deque<Long> mPendingMillis = new ArrayDeque<>(2);
    private double mAccepted;
    private double mRejected;
    private long mUpdatedMillis;
    private int mNextOutcome;
    private long mSilentUntilMillis;
    private long mLastRejectedMillis = Long.MIN_VALUE / 2;
    private long mFullUntilMillis = Long.MIN_VALUE;
    private boolean mShedding;
    private int mAcceptedInSuccession;
    private int mOwnAcceptedInSuccession;
    private boolean mFreeTrial;
    private long mNextTrialMillis;
    private int mUnreportedAccepted;
    private int mUnreportedRejected;

    AcceptanceRecord(long nowMillis) {
        mCreatedMillis = nowMillis;
        mUpdatedMillis = nowMillis;
        Arrays.fill(mOutcomeMillis, Long.MIN_VALUE / 2);
    }

    /** Records that an attempt is sent. */
    void onSent(long nowMillis) {
        mPendingMillis.add(nowMillis);
    }

    /** Records a rejection of a request of this VM. */
    void onRejected(long nowMillis) {
        mUnreportedRejected++;
        add(0, 1, nowMillis, nowMillis);
    }

    /** Records that the target is full. */
    void onFull(long nowMillis) {
        mFullUntilMillis = nowMillis + FULL_MILLIS;
    }

    /**
     * Records the end of an attempt of this VM.
     *
     * @param accepted whether the target responded and had not rejected it
     */
    void onEnded(long sentMillis, boolean accepted, long nowMillis) {
        boolean isPending = mPendingMillis.removeFirstOccurrence(sentMillis);
        if (!accepted) {
            return;
        }
        mFullUntilMillis = Long.MIN_VALUE;
        if (isPending) {
            onAccepted(sentMillis, nowMillis);
        } else if (sentMillis < mCreatedMillis) {
            // Sent before the first rejection, so it says little of the target's present state.
            update(nowMillis);
            mAccepted += weight(nowMillis - sentMillis);
        }
    }

    /** Returns whether an attempt is pending that the target would have rejected by now. */
    boolean hasAcceptedPending(long nowMillis) {
        return !mPendingMillis.isEmpty()
                && nowMillis - mPendingMillis.peekFirst() >= ACCEPTED_AFTER_MILLIS;
    }

    /** Counts the oldest pending attempt as accepted. */
    void acceptPending(long nowMillis) {
        onAccepted(mPendingMillis.removeFirst(), nowMillis);
    }

    private void onAccepted(long sentMillis, long nowMillis) {
        mUnreportedAccepted++;
        if (sentMillis >= mLastRejectedMillis) {
            mOwnAcceptedInSuccession++;
        }
        add(1, 0, sentMillis, nowMillis);
    }

    /** Records what another VM reported. */
    void onPeerReport(AcceptanceCounts counts, long nowMillis) {
        add(
                (int) Math.min(MAX_WEIGHT, counts.accepted()),
                (int) Math.min(MAX_WEIGHT, counts.rejected()),
                nowMillis,
                nowMillis);
    }

    private void add(int accepted, int rejected, long atMillis, long nowMillis) {
        update(nowMillis);
        double weight = weight(nowMillis - atMillis);
        mAccepted += accepted * weight;
        mRejected += rejected * weight;
        double excess = (mAccepted + mRejected) / MAX_WEIGHT;
        if (excess > 1) {
            mAccepted /= excess;
            mRejected /= excess;
        }
        for (int outcome = 0; outcome < Math.min(MIN_OUTCOMES, accepted + rejected); outcome++) {
            mOutcomeMillis[mNextOutcome] = atMillis;
            mNextOutcome = (mNextOutcome + 1) % MIN_OUTCOMES;
        }
        if (rejected > 0) {
            mAcceptedInSuccession = 0;
            mOwnAcceptedInSuccession = 0;
            mFreeTrial = false;
            mLastRejectedMillis = nowMillis;
        } else if (atMillis >= mLastRejectedMillis) {
            mAcceptedInSuccession += accepted;
        }
        mShedding = isSheddingNow(nowMillis);
    }

    private boolean isSheddingNow(long nowMillis) {
        if (!mShedding) {
            boolean isKnown = nowMillis - mOutcomeMillis[mNextOutcome] <= OUTCOMES_MILLIS;
            return isKnown && mRejected > mAccepted;
        }
        if (mAcceptedInSuccession < MIN_ACCEPTED_IN_SUCCESSION) {
            return true;
        }
        mRejected *= REMAINING_REJECTED;
        return false;
    }

    private void update(long nowMillis) {
        double weight = weight(nowMillis - mUpdatedMillis);
        mUpdatedMillis = nowMillis;
        mAccepted *= weight;
        mRejected *= weight;
        double sum = mAccepted + mRejected;
        if (mShedding && sum < MIN_OUTCOMES) {
            mAccepted *= MIN_OUTCOMES / sum;
            mRejected *= MIN_OUTCOMES / sum;
        }
    }

    private static double weight(long ageMillis) {
        return Math.pow(2, -Math.max(0, ageMillis) / HALF_LIFE_MILLIS);
    }

    /** Returns the probability that the target accepts a request now, above 0 to 1. */
    double probability(long nowMillis) {
        update(nowMillis);
        return (mAccepted + PRIOR_ACCEPTED) / (mAccepted + mRejected + PRIOR_ACCEPTED);
    }

    /** Returns whether the target sheds persistently. */
    boolean isShedding() {
        return mShedding;
    }

    /** Returns whether the target was full lately and has not responded since. */
    boolean isFull(long nowMillis) {
        return nowMillis < mFullUntilMillis;
    }

    /** Returns the acceptances since the last rejection, while the target sheds. */
    int acceptedInSuccession() {
        return mAcceptedInSuccession;
    }

    /** Returns this VM's part of these acceptances. */
    int ownAcceptedInSuccession() {
        return mOwnAcceptedInSuccession;
    }

    /** Returns whether the next trial doesn't count against the share of the requests. */
    boolean isTrialFree() {
        return mFreeTrial || mOwnAcceptedInSuccession > 0;
    }

    /** Makes the next trial free and decisive, because other targets accept again. */
    void assumeRecovery() {
        mFreeTrial = true;
        mAcceptedInSuccession = Math.max(mAcceptedInSuccession, MIN_ACCEPTED_IN_SUCCESSION - 1);
    }

    /** Records that a trial is sent, which uses up a free one. */
    void onTrialSent() {
        mFreeTrial = false;
    }

    /** Returns when the next request may be sent to the target while it sheds, in milliseconds. */
    long nextTrialMillis() {
        return mNextTrialMillis;
    }

    void setNextTrialMillis(long millis) {
        mNextTrialMillis = millis;
    }

    /** Returns until when the target isn't tried for lack of outcomes alone, in milliseconds. */
    long silentUntilMillis() {
        return mSilentUntilMillis;
    }

    void setSilentUntilMillis(long millis) {
        mSilentUntilMillis = millis;
    }

    /** Returns whether any VM's request was rejected within a time, in milliseconds. */
    boolean wasRejectedWithin(long millis, long nowMillis) {
        return nowMillis - mLastRejectedMillis <= millis;
    }

    /** Returns and clears the outcomes of this VM's requests since the last call. */
    AcceptanceCounts drainCounts() {
        AcceptanceCounts counts = new AcceptanceCounts(mUnreportedAccepted, mUnreportedRejected);
        mUnreportedAccepted = 0;
        mUnreportedRejected = 0;
        return counts;
    }

    /** Returns whether nothing is known that would influence a selection. */
    boolean isForgettable(long nowMillis) {
        update(nowMillis);
        return !mShedding && !isFull(nowMillis) && mRejected < MIN_WEIGHT;
    }
}
