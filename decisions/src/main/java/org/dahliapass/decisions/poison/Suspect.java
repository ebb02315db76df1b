package org.dahliapass.decisions.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What became of the requests that have one digest; not safe for use by several threads. */
final class Suspect {
    /** Ends that are kept; more say nothing new. */
    private static final int MOST_ENDS = 8;

    /** Targets that end one after the other until a request is quarantined. */
    private static final int ENDS_IN_TURN = 3;

    /**
     * Ends in turn that are enough where more targets ended: copies that several VMs sent at the
     * same time end theirs at the same time.
     */
    private static final int TURNS_OF_COPIES = 2;

    /** The most by which news of the same moment differ between two VMs, in milliseconds. */
    private static final long NEWS_DELAY_MILLIS = 20;

    private final List<TargetCrash> mEnds = new ArrayList<>();
    private long mAnsweredMillis = Long.MIN_VALUE;
    private boolean mQuarantined;
    private long mNewestMillis;

    Suspect(long nowMillis) {
        mNewestMillis = nowMillis;
    }

    /**
     * Takes an end.
     *
     * @return whether it wasn't known
     */
    boolean onCrash(TargetCrash end, long nowMillis) {
        boolean known = mEnds.stream().anyMatch(one -> one.incarnation().equals(end.incarnation()));
        if (known || end.crashedMillis() <= mAnsweredMillis || mEnds.size() >= MOST_ENDS) {
            return false;
        }
        mEnds.add(end);
        mEnds.sort(Comparator.comparingLong(TargetCrash::crashedMillis));
        mNewestMillis = nowMillis;
        mQuarantined |= isProved();
        return true;
    }

    /** Takes that a target answered, which no target does that ends. */
    void onAnswered(long nowMillis) {
        mEnds.clear();
        mQuarantined = false;
        mAnsweredMillis = nowMillis;
        mNewestMillis = nowMillis;
    }

    /** Takes that the fleet quarantined it. */
    void onQuarantined(long nowMillis) {
        mQuarantined = true;
        mNewestMillis = nowMillis;
    }

    /**
     * Returns whether the ends prove that the request is their cause.
     *
     * <p>Guards against a request that many send alike while a rack is lost: its targets end at the
     * same moment, which speaks of the rack. Only ends of which each followed the one before speak
     * of the request, as it was sent to a target that was still sound by then.
     */
    private boolean isProved() {
        int turns = endsInTurn();
        return turns >= ENDS_IN_TURN || (turns >= TURNS_OF_COPIES && mEnds.size() >= ENDS_IN_TURN);
    }

    private int endsInTurn() {
        int turns = 0;
        long lastEndMillis = Long.MIN_VALUE / 2;
        for (TargetCrash end : mEnds) {
            if (follows(end, lastEndMillis)) {
                turns++;
                lastEndMillis = end.crashedMillis();
            }
        }
        return turns;
    }

    /**
     * Returns whether the request was sent after an earlier end; as that may have been seen by
     * another VM, also if it was sent a little before and ran on for long enough.
     */
    private static boolean follows(TargetCrash end, long earlierMillis) {
        return end.sentMillis() >= earlierMillis
                || (end.sentMillis() >= earlierMillis - NEWS_DELAY_MILLIS
                        && end.crashedMillis() >= earlierMillis + NEWS_DELAY_MILLIS);
    }

    Treatment treatment() {
        if (mQuarantined) {
            return Treatment.QUARANTINED;
        }
        return mEnds.isEmpty() ? Treatment.USUAL : Treatment.ALONE;
    }

    List<TargetCrash> crashes() {
        return List.copyOf(mEnds);
    }

    /** Returns when a target last answered it, in milliseconds; the least number for never. */
    long answeredMillis() {
        return mAnsweredMillis;
    }

    /** Returns when something new was last heard of it, in milliseconds. */
    long lastUpdatedMillis() {
        return mNewestMillis;
    }
}
