package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Tells which targets the newest work speaks for, and which of the others are worth a trial.
 *
 * <p>Answers the load pattern of targets that hang or fail most of their work for some seconds
 * while their health report is good. A test that must not err needs more work than there is in such
 * a bout, so this one is quick to doubt: one failure, or one answer that is overdue. In return it
 * takes nothing out of service: picks only prefer the trusted targets, and requests that may repeat
 * try the others now and then, so that requests that must not repeat need not find out.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(requests in flight at the target).
 */
public final class TrustTable {
    /** A target without trust gets a trial this often from each VM, in milliseconds. */
    private static final long TRIAL_PAUSE_MILLIS = 2_500;

    /** A second error within this time is no chance any more, in milliseconds. */
    private static final long ERRORS_TOGETHER_MILLIS = 3_000;

    /** A full target has worked off a part of its queue after this time, in milliseconds. */
    private static final long REST_MILLIS = 250;

    /** Without any news of a target its trust comes back after this time, in milliseconds. */
    private static final long FORGET_MILLIS = 12_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<Endpoint, TargetTrust> mRecords = new HashMap<>();
    private final List<TrustChange> mNews = new ArrayList<>();
    private boolean mTrialsAllowed = true;

    /** What is known of one target. */
    private static final class TargetTrust {
        private final UnansweredWork mWork = new UnansweredWork();
        private int mAnswersNeeded;
        private boolean mPeersDoubt;
        private int mPeersAnswersNeeded;
        private long mSetbackMillis = NEVER;
        private long mErrorMillis = NEVER;
        private long mRestUntilMillis = NEVER;
        private long mTrialFromMillis = NEVER;

        private boolean isProven(long nowMillis) {
            boolean proven = mAnswersNeeded == 0 && !mPeersDoubt;
            return proven || nowMillis - mSetbackMillis > FORGET_MILLIS;
        }
    }

    /** Sets whether trials may be had: each may cost a further try at another target. */
    public void allowTrials(boolean allowed) {
        mTrialsAllowed = allowed;
    }

    /**
     * Takes the start of a piece of work.
     *
     * @param work identifies the piece of work
     * @param overdueMillis from when on the missing answer is cause for doubt, in milliseconds
     */
    public void onStarted(Endpoint target, Object work, long overdueMillis, long nowMillis) {
        TargetTrust record = mRecords.computeIfAbsent(target, unused -> new TargetTrust());
        record.mWork.start(work, overdueMillis, nowMillis);
        record.mTrialFromMillis = nowMillis + TRIAL_PAUSE_MILLIS;
    }

    /** Takes the end of a piece of work, before what its end says of the target. */
    public void onEnded(Endpoint target, Object work) {
        TargetTrust record = mRecords.get(target);
        if (record != null) {
            record.mWork.end(work);
        }
    }

    /** Takes a whole answer of a target; a target that begins to prove itself may go on at once. */
    public void onAnswered(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        if (record == null) {
            return;
        }
        boolean before = record.isProven(nowMillis);
        record.mAnswersNeeded = Math.max(0, record.mAnswersNeeded - 1);
        record.mPeersAnswersNeeded = Math.max(0, record.mPeersAnswersNeeded - 1);
        record.mPeersDoubt &= record.mPeersAnswersNeeded > 0;
        record.mTrialFromMillis = nowMillis;
        if (!before && record.isProven(nowMillis)) {
            mNews.add(new TrustChange(target, true));
        }
    }

    /**
     * Takes what another VM's work showed.
     *
     * <p>A VM's own doubt stays until its own work dispels it: its path to the target may fail
     * while that of the others doesn't. A doubt of the others asks for as many answers as an own
     * one, so that a failing path elsewhere doesn't take a sound target away from this VM for long.
     */
    public void onPeer(TrustChange change, long nowMillis) {
        TargetTrust record = mRecords.computeIfAbsent(change.target(), unused -> new TargetTrust());
        if (change.trusted()) {
            record.mPeersDoubt = false;
            return;
        }
        if (record.isProven(nowMillis)) {
            record.mTrialFromMillis = nowMillis + TRIAL_PAUSE_MILLIS;
        }
        record.mPeersDoubt = true;
        record.mPeersAnswersNeeded = Setback.FAILED.answersNeeded();
        record.mSetbackMillis = nowMillis;
    }

    /**
     * Takes work without an answer for a failure once it is overdue by as long again, without
     * waiting for its timeout, which may be seconds away; about 1 in 80 sound answers takes longer.
     */
    public void giveUpOnLost(long nowMillis) {
        mRecords.forEach(
                (target, record) -> {
                    if (record.mWork.removeLost(nowMillis)) {
                        onSetback(target, Setback.FAILED, nowMillis);
                    }
                });
    }

    /** Returns the changes that other VMs should hear of, oldest first, and forgets them. */
    public List<TrustChange> takeNews() {
        List<TrustChange> news = List.copyOf(mNews);
        mNews.clear();
        return news;
    }

    /** Takes a piece of work that didn't go well. */
    public void onSetback(Endpoint target, Setback setback, long nowMillis) {
        TargetTrust record = mRecords.computeIfAbsent(target, unused -> new TargetTrust());
        if (setback == Setback.FULL) {
            record.mRestUntilMillis = nowMillis + REST_MILLIS;
            return;
        }
        int needed = setback.answersNeeded();
        if (setback == Setback.ERROR) {
            boolean again = nowMillis - record.mErrorMillis <= ERRORS_TOGETHER_MILLIS;
            record.mErrorMillis = nowMillis;
            needed = again ? Setback.FAILED.answersNeeded() : 0;
        }
        if (needed > 0) {
            if (record.mAnswersNeeded == 0 && setback != Setback.LATE) {
                mNews.add(new TrustChange(target, false));
            }
            record.mAnswersNeeded = Math.max(record.mAnswersNeeded, needed);
            record.mSetbackMillis = nowMillis;
            record.mTrialFromMillis = nowMillis + TRIAL_PAUSE_MILLIS;
        }
    }

    /** Returns whether no failure speaks against the target, however late answers are. */
    public boolean isProven(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        return record == null || record.isProven(nowMillis);
    }

    /** Returns whether the target was full a moment ago. */
    public boolean isResting(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        return record != null && nowMillis < record.mRestUntilMillis;
    }

    /** Returns what the unanswered work at a target says of it, as in {@link TargetWork}. */
    public double silence(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        return record == null ? 1 : record.mWork.silence(nowMillis);
    }

    /** Returns whether the newest work speaks for the target. */
    public boolean isTrusted(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        return record == null
                || (record.isProven(nowMillis)
                        && nowMillis >= record.mRestUntilMillis
                        && !record.mWork.hasOverdue(nowMillis));
    }

    /**
     * Returns whether the target lost its trust and should be tried by a request that may repeat.
     */
    public boolean isTrialDue(Endpoint target, long nowMillis) {
        TargetTrust record = mRecords.get(target);
        return mTrialsAllowed
                && record != null
                && !record.isProven(nowMillis)
                && record.mWork.isEmpty()
                && nowMillis >= record.mTrialFromMillis;
    }

    /** Forgets the targets that aren't among these. */
    public void retain(Set<Endpoint> targets) {
        mRecords.keySet().retainAll(targets);
    }
}
