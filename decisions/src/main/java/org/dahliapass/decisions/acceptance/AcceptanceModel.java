package org.dahliapass.decisions.acceptance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;

/**
 * Estimates the probability that a target of one service accepts a request now, from the
 * acceptances and rejections of this and the other VMs.
 *
 * <p>A target that sheds persistently gets single requests, the trials, from all VMs together. The
 * VM whose trial is accepted sends further ones at a rate that each acceptance raises, so that the
 * target is soon in full use again but doesn't get a burst. The trials of all targets together are
 * bounded by a share of the requests, since most of them are rejected. If several trials are
 * accepted in succession, whatever their targets, all targets that shed are tried at once: a common
 * cause has probably ended.
 *
 * <p>Has no state for a target that never rejected a request. Not thread-safe; guarded by the
 * service's lock. A call on one target is O(1), amortized over its attempts.
 */
public final class AcceptanceModel {
    /** The interval of the trials of one target from all VMs together, in milliseconds. */
    private static final double TRIAL_INTERVAL_MILLIS = 250;

    /** By how much each acceptance in succession shortens the interval of the VM that sees it. */
    private static final double INTERVAL_FACTOR = 4;

    /**
     * The trials per request of this VM. Targets that reject nearly all trials add about this share
     * of rejected arrivals, and their retries use a sixth of the usual retry budget of 0.2.
     */
    private static final double TRIALS_PER_REQUEST = 0.03;

    /** Reads take a trial as soon as one is allowed; other requests only if no read did. */
    private static final double MAX_TRIALS_SAVED = 2;

    /**
     * A trial is allowed whatever the number of requests if no outcome is known for once to twice
     * this time, in milliseconds, so that no target is left out for good at VMs with few requests.
     */
    private static final long MAX_SILENCE_MILLIS = 10_000;

    /** How long the other VMs are told of the outcomes at a target that rejected, in ms. */
    private static final long REPORT_MILLIS = 2_000;

    /** A target above this probability accepts well. */
    private static final double MIN_ACCEPTING_PROBABILITY = 0.75;

    /**
     * The trials accepted in succession, whatever their targets, after which all targets that shed
     * are tried at once, and return with one acceptance. Of targets that reject 0.9, one such
     * series in 10,000 trials is by chance.
     */
    private static final int MIN_ACCEPTED_TRIALS = 4;

    private final RandomGenerator mRandom;
    private final Map<Endpoint, AcceptanceRecord> mRecords = new HashMap<>();
    private final List<AcceptanceChange> mChanges = new ArrayList<>();
    private IntSupplier mVms = () -> 1;
    private double mTrials = 1;
    private int mAcceptedTrials;

    /**
     * Creates a model that knows of no rejection.
     *
     * @param random spreads the trials of the VMs
     */
    public AcceptanceModel(RandomGenerator random) {
        mRandom = random;
    }

    /** Sets the source of the number of VMs that take callers. */
    public void setVms(IntSupplier vms) {
        mVms = vms;
    }

    /** Returns whether no target rejected a request lately. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Records that an attempt of this VM is sent to a target. */
    public void onSent(Endpoint target, long nowMillis) {
        if (mRecords.isEmpty()) {
            return;
        }
        mTrials = Math.min(MAX_TRIALS_SAVED, mTrials + TRIALS_PER_REQUEST);
        AcceptanceRecord record = current(target, nowMillis);
        if (record == null) {
            return;
        }
        record.onSent(nowMillis);
        if (!record.isShedding()) {
            return;
        }
        if (!record.isTrialFree()) {
            mTrials = Math.max(0, mTrials - 1);
        }
        record.onTrialSent();
        record.setNextTrialMillis(nowMillis + Math.round(intervalMillis(record) * jitter()));
    }

    /** Records that a target sheds a request of this VM although it has slots free. */
    public void onShed(Endpoint target, long nowMillis) {
        AcceptanceRecord record = recordOf(target, nowMillis);
        apply(target, record, () -> record.onRejected(nowMillis), true, nowMillis);
    }

    /** Records that a target rejects a request of this VM because its slots are taken. */
    public void onFull(Endpoint target, long nowMillis) {
        recordOf(target, nowMillis).onFull(nowMillis);
    }

    /**
     * Records the end of an attempt of this VM.
     *
     * @param sentMillis when it was sent, in milliseconds
     * @param accepted whether the target responded otherwise than by a rejection
     */
    public void onEnded(Endpoint target, long sentMillis, boolean accepted, long nowMillis) {
        AcceptanceRecord record = mRecords.get(target);
        if (record == null) {
            return;
        }
        apply(
                target,
                record,
                () -> record.onEnded(sentMillis, accepted, nowMillis),
                false,
                nowMillis);
    }

    /** Records what another VM reported of a target. */
    public void onPeerReport(Endpoint target, AcceptanceCounts counts, long nowMillis) {
        if (counts.isEmpty() || (counts.rejected() <= 0 && !mRecords.containsKey(target))) {
            return;
        }
        AcceptanceRecord record = recordOf(target, nowMillis);
        apply(
                target,
                record,
                () -> record.onPeerReport(counts, nowMillis),
                counts.rejected() > 0,
                nowMillis);
    }

    private AcceptanceRecord recordOf(Endpoint target, long nowMillis) {
        return mRecords.computeIfAbsent(target, unused -> new AcceptanceRecord(nowMillis));
    }

    /** Applies outcomes to a record, and schedules the trials of its target. */
    private void apply(
            Endpoint target,
            AcceptanceRecord record,
            Runnable outcomes,
            boolean isRejected,
            long nowMillis) {
        boolean wasShedding = record.isShedding();
        int before = record.acceptedInSuccession();
        outcomes.run();
        int accepted = record.acceptedInSuccession() - before;
        if (wasShedding != record.isShedding()) {
            mChanges.add(
                    new AcceptanceChange(
                            target, record.isShedding(), record.probability(nowMillis)));
        }
        if (record.isShedding() && (!wasShedding || accepted < 0)) {
            record.setNextTrialMillis(nowMillis + Math.round(intervalMillis(record) * jitter()));
        } else if (record.isShedding() && accepted > 0) {
            bringForward(record, intervalMillis(record), nowMillis);
        }
        if (isRejected || accepted > 0) {
            record.setSilentUntilMillis(
                    nowMillis + Math.round(MAX_SILENCE_MILLIS * (1 + mRandom.nextDouble())));
        }
        if (wasShedding) {
            onTrialEnded(isRejected, Math.max(0, accepted), nowMillis);
        }
    }

    /** Tries all targets that shed again once some of them accept. */
    private void onTrialEnded(boolean isRejected, int accepted, long nowMillis) {
        mAcceptedTrials = isRejected ? 0 : mAcceptedTrials + accepted;
        if (mAcceptedTrials < MIN_ACCEPTED_TRIALS) {
            return;
        }
        mAcceptedTrials = 0;
        for (AcceptanceRecord record : mRecords.values()) {
            if (record.isShedding()) {
                record.assumeRecovery();
                bringForward(record, TRIAL_INTERVAL_MILLIS * vms() / INTERVAL_FACTOR, nowMillis);
            }
        }
    }

    private void bringForward(AcceptanceRecord record, double withinMillis, long nowMillis) {
        long next = nowMillis + Math.round(withinMillis * mRandom.nextDouble());
        record.setNextTrialMillis(Math.min(record.nextTrialMillis(), next));
    }

    /** Returns the interval of this VM's trials of a target, in milliseconds. */
    private double intervalMillis(AcceptanceRecord record) {
        int accepted = record.ownAcceptedInSuccession();
        return accepted == 0
                ? TRIAL_INTERVAL_MILLIS * vms()
                : TRIAL_INTERVAL_MILLIS / Math.pow(INTERVAL_FACTOR, accepted);
    }

    private int vms() {
        return Math.max(1, mVms.getAsInt());
    }

    private double jitter() {
        return 0.75 + 0.5 * mRandom.nextDouble();
    }

    /** Returns the record of a target with all that is known by now; null if there is none. */
    private AcceptanceRecord current(Endpoint target, long nowMillis) {
        AcceptanceRecord record = mRecords.get(target);
        if (record != null) {
            acceptPending(target, record, nowMillis);
        }
        return record;
    }

    private void acceptPending(Endpoint target, AcceptanceRecord record, long nowMillis) {
        while (record.hasAcceptedPending(nowMillis)) {
            apply(target, record, () -> record.acceptPending(nowMillis), false, nowMillis);
        }
    }

    /** Returns the probability that a target accepts a request now, above 0 to 1. */
    public double probability(Endpoint target, long nowMillis) {
        AcceptanceRecord record = current(target, nowMillis);
        return record == null ? 1 : record.probability(nowMillis);
    }

    /** Returns whether a target accepts nearly all requests, as far as is known. */
    public boolean acceptsWell(Endpoint target, long nowMillis) {
        AcceptanceRecord record = current(target, nowMillis);
        return record == null
                || (!record.isShedding()
                        && record.probability(nowMillis) >= MIN_ACCEPTING_PROBABILITY);
    }

    /** Returns whether a target sheds persistently, so that it should get trials only. */
    public boolean isShedding(Endpoint target, long nowMillis) {
        AcceptanceRecord record = current(target, nowMillis);
        return record != null && record.isShedding();
    }

    /** Returns whether the slots of a target are probably all taken. */
    public boolean isFull(Endpoint target, long nowMillis) {
        AcceptanceRecord record = mRecords.get(target);
        return record != null && record.isFull(nowMillis);
    }

    /**
     * Returns how long a trial of a target that sheds is due, in milliseconds; negative if it isn't
     * allowed now.
     *
     * @param mayRepeat whether the request may be repeated; others wait for such a request
     */
    public long trialDueMillis(Endpoint target, boolean mayRepeat, long nowMillis) {
        AcceptanceRecord record = current(target, nowMillis);
        if (record == null || !record.isShedding()) {
            return -1;
        }
        long due = nowMillis - record.nextTrialMillis();
        if (record.isTrialFree()) {
            return due;
        }
        if (nowMillis > record.silentUntilMillis()) {
            return due;
        }
        boolean isAllowed =
                mayRepeat
                        ? mTrials >= 1
                        : mTrials >= MAX_TRIALS_SAVED && due >= intervalMillis(record);
        return isAllowed ? due : -1;
    }

    /**
     * Returns the outcomes of this VM's requests since the last call, for the other VMs; only those
     * at targets that shed or rejected lately.
     */
    public Map<Endpoint, AcceptanceCounts> drainReports(long nowMillis) {
        if (mRecords.isEmpty()) {
            return Map.of();
        }
        Map<Endpoint, AcceptanceCounts> reports = new HashMap<>();
        mRecords.forEach(
                (target, record) -> {
                    acceptPending(target, record, nowMillis);
                    AcceptanceCounts counts = record.drainCounts();
                    boolean isRelevant =
                            record.isShedding()
                                    || record.wasRejectedWithin(REPORT_MILLIS, nowMillis);
                    if (!counts.isEmpty() && isRelevant) {
                        reports.put(target, counts);
                    }
                });
        return reports;
    }

    /** Returns and clears the changes of targets that began or ceased to shed. */
    public List<AcceptanceChange> drainChanges() {
        List<AcceptanceChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns the number of targets that shed persistently. */
    public int lowTargets() {
        return (int) mRecords.values().stream().filter(AcceptanceRecord::isShedding).count();
    }

    /** Discards records that no longer say anything. */
    public void evict(long nowMillis) {
        mRecords.forEach((target, record) -> acceptPending(target, record, nowMillis));
        mRecords.values().removeIf(record -> record.isForgettable(nowMillis));
    }

    /** Discards what is known of targets that were replaced at their address. */
    public void forget(Set<Endpoint> targets) {
        mRecords.keySet().removeAll(targets);
    }

    /** Discards what is known of all targets except the given ones. */
    public void retain(Set<Endpoint> targets) {
        mRecords.keySet().retainAll(targets);
    }
}
