package org.dahliapass.decisions.availability;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * What this VM knows of the availability of the targets of all services, by their own statements.
 *
 * <p>A statement holds for the incarnation that made it, not for a later one at its address, and as
 * long as that incarnation is registered, even if its entry in the store lapses in between. After a
 * rest a target gets one request at a time until it has responded without asking for another rest,
 * so that the VMs don't overload it together. Thread-safe.
 */
public final class TargetAvailability {
    /** By how much a rest is extended at most, as a share, so that VMs don't return together. */
    private static final double REST_JITTER_SHARE = 0.2;

    private static final long MAX_REST_JITTER_MILLIS = 2_000;

    /** How long the other VMs are told that a target is leaving, since messages may be lost. */
    private static final long LEAVING_NEWS_MILLIS = 3_000;

    /** How long the other VMs are told of a rest, which a later response of the target refutes. */
    private static final long REST_NEWS_MILLIS = 1_000;

    /** The reports that tell a piece of news at least, however rare they are. */
    private static final int MIN_REPORTS = 2;

    /** Longer than an outage of the store after which the entries of targets are back. */
    private static final long RETENTION_MILLIS = 600_000;

    private final RandomGenerator mRandom;
    private final ReplacedTargets mReplaced;
    private final Map<String, AvailabilityRecord> mRecords = new ConcurrentHashMap<>();

    /** When each incarnation that the other VMs are told of said that it is leaving. */
    private final Map<String, Long> mLeavingNews = new ConcurrentHashMap<>();

    /** When each incarnation that the other VMs are told of last asked for a rest. */
    private final Map<String, Long> mRestNews = new ConcurrentHashMap<>();

    /**
     * Creates an object that knows no statement.
     *
     * @param random spreads the ends of rests
     */
    public TargetAvailability(RandomGenerator random) {
        this(random, new ReplacedTargets(false));
    }

    /**
     * Creates an object that knows no statement.
     *
     * @param random spreads the ends of rests
     * @param replaced the targets that another instance has replaced
     */
    public TargetAvailability(RandomGenerator random, ReplacedTargets replaced) {
        mRandom = random;
        mReplaced = replaced;
    }

    /** Returns the targets that another instance has replaced, by responses of that instance. */
    public ReplacedTargets replaced() {
        return mReplaced;
    }

    /** Returns whether no target has said anything or been replaced, which is the usual case. */
    public boolean isEmpty() {
        return mRecords.isEmpty() && mReplaced.isEmpty();
    }

    /** Returns what is known of a target by its incarnation. */
    public AvailabilityRecord of(String incarnation) {
        return mRecords.getOrDefault(incarnation, AvailabilityRecord.NONE);
    }

    /**
     * Returns whether a target may get another request now.
     *
     * @param inFlight this VM's requests in flight to the target
     */
    public boolean allows(String incarnation, int inFlight, long nowMillis) {
        AvailabilityRecord record = of(incarnation);
        if (record.isLeaving() || mReplaced.isExcluded(incarnation, nowMillis)) {
            return false;
        }
        return record.restEndMillis().isEmpty()
                || (record.restMillis(nowMillis) == 0 && inFlight == 0);
    }

    /**
     * Records what a response of a target says.
     *
     * @param sentMillis when its request was sent, in milliseconds
     * @return whether the target is leaving and that wasn't known before
     */
    public boolean onStatement(
            String incarnation, AvailabilityStatement statement, long sentMillis, long nowMillis) {
        long restMillis = statement.restMillis().orElse(0);
        if (restMillis > 0) {
            mRestNews.put(incarnation, nowMillis);
            long endMillis = nowMillis + restMillis + jitterMillis(restMillis);
            mRecords.merge(
                    incarnation,
                    AvailabilityRecord.NONE.withRestUntil(endMillis),
                    (known, unused) -> known.withRestUntil(endMillis));
        } else {
            mRecords.computeIfPresent(incarnation, (key, known) -> known.withoutRest(sentMillis));
        }
        if (!statement.isLeaving() || !onLeaving(incarnation, nowMillis)) {
            return false;
        }
        mLeavingNews.put(incarnation, nowMillis);
        return true;
    }

    /**
     * Discards what is known of targets that are gone for good.
     *
     * <p>Keeps it for a while longer than a target is registered, since the entries of targets
     * lapse while the store is away and are back later.
     *
     * @param isRegistered returns whether a target is registered, by its incarnation
     */
    public void evict(Predicate<String> isRegistered, long nowMillis) {
        mReplaced.evict(isRegistered);
        mRecords.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().isOlderThan(nowMillis - RETENTION_MILLIS)
                                        && !isRegistered.test(entry.getKey()));
    }

    private synchronized long jitterMillis(long restMillis) {
        double maxMillis = Math.min(MAX_REST_JITTER_MILLIS, restMillis * REST_JITTER_SHARE);
        return Math.round(maxMillis * mRandom.nextDouble());
    }

    /**
     * Records that another VM received a response which says that its target is leaving.
     *
     * @return whether that wasn't known before
     */
    public boolean onPeerLeaving(String incarnation, long nowMillis) {
        return onLeaving(incarnation, nowMillis);
    }

    /**
     * Returns the incarnations whose responses to this VM said lately that they are leaving.
     *
     * @param reportIntervalMillis the interval at which the other VMs are told, in milliseconds
     */
    public List<String> recentlyLeaving(long reportIntervalMillis, long nowMillis) {
        long newsMillis = Math.max(LEAVING_NEWS_MILLIS, MIN_REPORTS * reportIntervalMillis);
        mLeavingNews.values().removeIf(statedMillis -> nowMillis - statedMillis > newsMillis);
        return List.copyOf(mLeavingNews.keySet());
    }

    /**
     * Returns the incarnations that lately asked this VM for a rest which isn't over.
     *
     * @param reportIntervalMillis the interval at which the other VMs are told, in milliseconds
     */
    public List<String> recentlyResting(long reportIntervalMillis, long nowMillis) {
        long newsMillis = Math.max(REST_NEWS_MILLIS, MIN_REPORTS * reportIntervalMillis);
        mRestNews
                .entrySet()
                .removeIf(
                        news ->
                                nowMillis - news.getValue() > newsMillis
                                        || of(news.getKey()).restMillis(nowMillis) == 0);
        return List.copyOf(mRestNews.keySet());
    }

    private boolean onLeaving(String incarnation, long nowMillis) {
        boolean isKnown = of(incarnation).isLeaving();
        mRecords.merge(
                incarnation,
                AvailabilityRecord.NONE.withLeaving(nowMillis),
                (known, unused) -> known.withLeaving(nowMillis));
        return !isKnown;
    }
}
