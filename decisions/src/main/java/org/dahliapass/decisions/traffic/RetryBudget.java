package org.dahliapass.decisions.traffic;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.DoubleSupplier;
import org.dahliapass.model.RequestKind;

/**
 * A retry budget, which limits the retries and hedges of a service to a share of its first
 * attempts, in any window.
 *
 * <p>Prevents retry storms: without a budget, failures caused by overload would add more load.
 *
 * <p>The limit is the fleet's, but each VM decides alone. So a VM's retries in a window are at most
 * its allowance and its share of a sum over its own first attempts: half of those in that window
 * and half of those in the window that begins half a window earlier. Sums of several VMs add up to
 * the same sum over the fleet, wherever callers move, which isn't true of the greater one of two
 * windows. Of the two halves, the first lets a VM retry soon after its first requests, and the
 * second lets it retry many requests at once.
 *
 * <p>A retry is charged when it is decided and held until it is sent. Held retries count in every
 * window, so that those which wait can't be added to a later window. Not thread-safe; guarded by
 * the service's lock.
 */
public final class RetryBudget {
    /** The length of the window in which retries are limited, in milliseconds. */
    public static final long WINDOW_MILLIS = 10_000;

    private static final long BUCKET_MILLIS = 200;
    private static final int WINDOW_BUCKETS = (int) (WINDOW_MILLIS / BUCKET_MILLIS);
    private static final int HALF_WINDOW_BUCKETS = WINDOW_BUCKETS / 2;

    /** The buckets of all windows that end now or later, and of the half windows before them. */
    private static final int BUCKETS = WINDOW_BUCKETS + HALF_WINDOW_BUCKETS + 2;

    /** The weight of the first attempts in the window of the retries. */
    private static final double SAME_WINDOW_WEIGHT = 0.5;

    /** The allowance of a VM that is not told one. */
    private static final double DEFAULT_ALLOWANCE = 2;

    /** The maximum share of the budget that is reserved for requests that must not be repeated. */
    private static final double MAX_RESERVED_SHARE = 0.3;

    /** The reserve is at its maximum if at least half of the requests must not be repeated. */
    private static final double RESERVE_PER_SHARE = 2;

    private final boolean mIsReserveProportional;
    private final int[] mFirstAttempts = new int[BUCKETS];
    private final int[] mNonRepeatable = new int[BUCKETS];
    private final double[] mEarned = new double[BUCKETS];

    /** When the retries of the last window were sent, in milliseconds, in this order. */
    private final Deque<Long> mSent = new ArrayDeque<>();

    private DoubleSupplier mAllowance = () -> DEFAULT_ALLOWANCE;
    private long mNewestBucket = Long.MIN_VALUE;
    private int mHeld;

    /** Creates a budget with the maximum reserve, whatever the requests. */
    public RetryBudget() {
        this(false);
    }

    /**
     * Creates a budget.
     *
     * @param isReserveProportional whether the reserve follows the share of the requests that must
     *     not be repeated; otherwise it is always at its maximum
     */
    public RetryBudget(boolean isReserveProportional) {
        mIsReserveProportional = isReserveProportional;
    }

    /** Sets the retries and hedges that are allowed beside the share, for low traffic. */
    public void setAllowance(DoubleSupplier allowance) {
        mAllowance = allowance;
    }

    /** Records a first attempt, which adds its kind's retry share to the budget. */
    public void onFirstAttempt(RequestKind kind, long nowMillis) {
        advance(nowMillis);
        int bucket = index(mNewestBucket);
        mEarned[bucket] += kind.retryShare();
        mFirstAttempts[bucket]++;
        if (!kind.idempotency().isRepeatable()) {
            mNonRepeatable[bucket]++;
        }
    }

    /**
     * Returns whether the budget allows a retry or hedge of a kind, in each window that contains
     * the current time.
     *
     * <p>Reserves a part for requests that must not be repeated, so that hedges of reads can't
     * exhaust the budget before targets start to refuse requests.
     */
    public boolean hasRemaining(RequestKind kind, long nowMillis) {
        advance(nowMillis);
        double allowance = mAllowance.getAsDouble();
        if (mSent.size() + mHeld + 1 <= allowance) {
            return true;
        }
        double usableShare = usableShare(kind);
        long oldestStart = Math.floorDiv(nowMillis - WINDOW_MILLIS + 1, BUCKET_MILLIS);
        int retries = mHeld + 1;
        Iterator<Long> sent = mSent.descendingIterator();
        long nextSent = sent.hasNext() ? sent.next() : Long.MIN_VALUE;
        double earned = 0;
        double earnedEarlier = sum(mEarned, mNewestBucket - HALF_WINDOW_BUCKETS + 1, mNewestBucket);
        for (long start = mNewestBucket; start >= oldestStart; start--) {
            earned += mEarned[index(start)];
            earnedEarlier += mEarned[index(start - HALF_WINDOW_BUCKETS)];
            if (start + HALF_WINDOW_BUCKETS <= mNewestBucket) {
                earnedEarlier -= mEarned[index(start + HALF_WINDOW_BUCKETS)];
            }
            while (nextSent >= start * BUCKET_MILLIS) {
                retries++;
                nextSent = sent.hasNext() ? sent.next() : Long.MIN_VALUE;
            }
            double credit = SAME_WINDOW_WEIGHT * earned + (1 - SAME_WINDOW_WEIGHT) * earnedEarlier;
            if (retries > allowance + usableShare * credit) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the share of the last window's budget for a kind that is left, from 0 to 1. Some may
     * be left while a shorter time has used up its part.
     */
    public double remainingShare(RequestKind kind, long nowMillis) {
        advance(nowMillis);
        double allowed = mAllowance.getAsDouble() + usableShare(kind) * windowSum(mEarned);
        return allowed > 0 ? Math.max(0, 1 - (mSent.size() + mHeld) / allowed) : 0;
    }

    /** Returns the share of the earned retries that a kind may use. */
    private double usableShare(RequestKind kind) {
        return kind.idempotency().isRepeatable() ? 1 - reservedShare() : 1;
    }

    /** Returns the share that is reserved for requests that must not be repeated. */
    private double reservedShare() {
        if (!mIsReserveProportional) {
            return MAX_RESERVED_SHARE;
        }
        int firstAttempts = 0;
        int nonRepeatable = 0;
        for (long bucket = mNewestBucket - WINDOW_BUCKETS + 1; bucket <= mNewestBucket; bucket++) {
            firstAttempts += mFirstAttempts[index(bucket)];
            nonRepeatable += mNonRepeatable[index(bucket)];
        }
        if (firstAttempts == 0) {
            return MAX_RESERVED_SHARE;
        }
        double nonRepeatableShare = (double) nonRepeatable / firstAttempts;
        return MAX_RESERVED_SHARE * Math.min(1, RESERVE_PER_SHARE * nonRepeatableShare);
    }

    /** Charges a retry or hedge that is sent at once. */
    public void onExtraAttempt(long nowMillis) {
        advance(nowMillis);
        mSent.addLast(nowMillis);
    }

    /**
     * Holds the latest charge until its attempt is sent or given up.
     *
     * @return the charge, with what the budget held before it
     */
    public RetryCharge holdLatest(ChargeReason reason, long nowMillis) {
        advance(nowMillis);
        mSent.removeLast();
        RetryCharge charge =
                new RetryCharge(
                        reason, mAllowance.getAsDouble(), windowSum(mEarned), mSent.size(), mHeld);
        mHeld++;
        return charge;
    }

    /** Records that the attempt of a held charge is sent now. */
    public void onHeldSent(long nowMillis) {
        mHeld--;
        onExtraAttempt(nowMillis);
    }

    /** Returns a held charge whose attempt is not sent. */
    public void releaseHeld() {
        mHeld--;
    }

    private double windowSum(double[] values) {
        return sum(values, mNewestBucket - WINDOW_BUCKETS + 1, mNewestBucket);
    }

    private static double sum(double[] values, long from, long to) {
        double sum = 0;
        for (long bucket = from; bucket <= to; bucket++) {
            sum += values[index(bucket)];
        }
        return sum;
    }

    /** Clears the buckets and retries that left the windows which contain the current time. */
    private void advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (mNewestBucket == Long.MIN_VALUE) {
            mNewestBucket = bucket;
        }
        if (bucket - mNewestBucket >= BUCKETS) {
            Arrays.fill(mFirstAttempts, 0);
            Arrays.fill(mNonRepeatable, 0);
            Arrays.fill(mEarned, 0);
            mNewestBucket = bucket;
        }
        while (mNewestBucket < bucket) {
            mNewestBucket++;
            int index = index(mNewestBucket);
            mFirstAttempts[index] = 0;
            mNonRepeatable[index] = 0;
            mEarned[index] = 0;
        }
        while (!mSent.isEmpty() && mSent.getFirst() <= nowMillis - WINDOW_MILLIS) {
            mSent.removeFirst();
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
