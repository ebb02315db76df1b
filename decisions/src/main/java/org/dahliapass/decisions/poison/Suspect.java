package org.dahliapass.decisions.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** The state of one suspected request digest. Not thread-safe; confined to the traffic thread. */
final class Suspect {
    /** The number of crashes that are kept from each end. */
    private static final int MAX_CRASHES_PER_END = 4;

    private static final Comparator<TargetCrash> BY_CRASH =
            Comparator.comparingLong(TargetCrash::crashedMillis)
                    .thenComparing(TargetCrash::incarnation);
    private static final Comparator<TargetCrash> BY_SENDING =
            Comparator.comparingLong(TargetCrash::sentMillis)
                    .thenComparing(TargetCrash::incarnation);

    /** Sequential crashes after which a request is quarantined. */
    private static final int MIN_SEQUENTIAL_CRASHES = 3;

    /**
     * Rounds of crashes that suffice if more targets crashed, since copies sent by several VMs
     * crash their targets concurrently.
     */
    private static final int MIN_ROUNDS_OF_COPIES = 2;

    /**
     * The maximum difference between the times at which two VMs observe the same event, in
     * milliseconds.
     */
    private static final long MAX_REPORT_DELAY_MILLIS = 20;

    private final List<TargetCrash> mCrashes = new ArrayList<>();
    private long mLastAnsweredMillis = Long.MIN_VALUE;
    private boolean mQuarantined;
    private long mLastUpdatedMillis;

    Suspect(long nowMillis) {
        mLastUpdatedMillis = nowMillis;
    }

    /**
     * Records a crash. Keeps the earliest crashes and those of the requests that were sent last.
     *
     * <p>Guards against copies that were sent before the first crash, which prove nothing, and
     * would fill the memory before the crashes that prove the cause. The crashes that are kept
     * don't depend on the order of the reports.
     *
     * @return whether it was new and is kept
     */
    boolean onCrash(TargetCrash crash, long nowMillis) {
        boolean known =
                mCrashes.stream()
                        .anyMatch(other -> other.incarnation().equals(crash.incarnation()));
        if (known || crash.crashedMillis() <= mLastAnsweredMillis) {
            return false;
        }
        mCrashes.add(crash);
        evictFromTheMiddle();
        if (!mCrashes.contains(crash)) {
            return false;
        }
        mLastUpdatedMillis = nowMillis;
        mQuarantined |= isPoison();
        return true;
    }

    private void evictFromTheMiddle() {
        mCrashes.sort(BY_SENDING);
        Set<TargetCrash> latest =
                Set.copyOf(
                        mCrashes.subList(
                                Math.max(0, mCrashes.size() - MAX_CRASHES_PER_END),
                                mCrashes.size()));
        mCrashes.sort(BY_CRASH);
        Set<TargetCrash> earliest =
                Set.copyOf(mCrashes.subList(0, Math.min(MAX_CRASHES_PER_END, mCrashes.size())));
        mCrashes.removeIf(crash -> !latest.contains(crash) && !earliest.contains(crash));
    }

    /** Clears the suspicion, since a poisoned target doesn't respond. */
    void onAnswered(long nowMillis) {
        mCrashes.clear();
        mQuarantined = false;
        mLastAnsweredMillis = nowMillis;
        mLastUpdatedMillis = nowMillis;
    }

    /** Records that the fleet quarantined the request. */
    void onQuarantined(long nowMillis) {
        mQuarantined = true;
        mLastUpdatedMillis = nowMillis;
    }

    /**
     * Returns whether the crashes prove that the request causes them.
     *
     * <p>Counts only crashes of targets that got the request after the previous crash. Targets that
     * crash at the same time may have another cause, such as the loss of a rack.
     */
    private boolean isPoison() {
        int rounds = sequentialCrashes();
        return rounds >= MIN_SEQUENTIAL_CRASHES
                || (rounds >= MIN_ROUNDS_OF_COPIES && mCrashes.size() >= MIN_SEQUENTIAL_CRASHES);
    }

    private int sequentialCrashes() {
        int rounds = 0;
        long lastCrashMillis = Long.MIN_VALUE / 2;
        for (TargetCrash crash : mCrashes) {
            if (follows(crash, lastCrashMillis)) {
                rounds++;
                lastCrashMillis = crash.crashedMillis();
            }
        }
        return rounds;
    }

    /**
     * Returns whether the request was sent after an earlier crash. If another VM observed that
     * crash, the request may have been sent slightly before and must have run long enough after it.
     */
    private static boolean follows(TargetCrash crash, long earlierMillis) {
        return crash.sentMillis() >= earlierMillis
                || (crash.sentMillis() >= earlierMillis - MAX_REPORT_DELAY_MILLIS
                        && crash.crashedMillis() >= earlierMillis + MAX_REPORT_DELAY_MILLIS);
    }

    Treatment treatment() {
        if (mQuarantined) {
            return Treatment.QUARANTINED;
        }
        return mCrashes.isEmpty() ? Treatment.USUAL : Treatment.ALONE;
    }

    List<TargetCrash> crashes() {
        return List.copyOf(mCrashes);
    }

    /**
     * Returns when a target last responded to the request, in milliseconds; {@code Long.MIN_VALUE}
     * for never.
     */
    long answeredMillis() {
        return mLastAnsweredMillis;
    }

    /** Returns the time of the last update, in milliseconds. */
    long lastUpdatedMillis() {
        return mLastUpdatedMillis;
    }
}
