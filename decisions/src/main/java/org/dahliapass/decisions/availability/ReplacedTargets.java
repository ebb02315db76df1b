package org.dahliapass.decisions.availability;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * The targets that another instance has replaced at their address, by a response with status 421.
 *
 * <p>A request names the instance that it is for, so a 421 proves that this start of the target is
 * not at the address any more, before the store says so. The record holds for the incarnation, not
 * for a later one. Since an intermediary may send a 421 of its own, the first one excludes the
 * target for a while only, and a later one until the store registers another start. Thread-safe.
 */
public final class ReplacedTargets {
    /** How long a 421 that isn't confirmed excludes a target, in milliseconds. */
    private static final long UNCONFIRMED_MILLIS = 10_000;

    /** The share of a service's targets that may be excluded, so that false 421s can't stop it. */
    private static final double MAX_EXCLUDED_SHARE = 0.3;

    /** How long the other VMs are told that a target was replaced, since messages may be lost. */
    private static final long NEWS_MILLIS = 3_000;

    /** The reports that tell a piece of news at least, however rare they are. */
    private static final int MIN_REPORTS = 2;

    private final boolean mIsEnabled;
    private final Map<String, Proof> mProofs = new ConcurrentHashMap<>();

    /** When each incarnation that the other VMs are told of was found to be replaced. */
    private final Map<String, Long> mNews = new ConcurrentHashMap<>();

    /**
     * A 421 of a target's address.
     *
     * @param isOwn whether this VM received it
     * @param sinceMillis when this VM learned of it, in milliseconds
     * @param isConfirmed whether this VM received another one for a later request
     */
    private record Proof(boolean isOwn, long sinceMillis, boolean isConfirmed) {
        private boolean excludes(long nowMillis) {
            return isConfirmed || nowMillis - sinceMillis < UNCONFIRMED_MILLIS;
        }
    }

    /**
     * Creates an object that knows no replaced target.
     *
     * @param isEnabled whether targets are excluded; if not, nothing is recorded
     */
    public ReplacedTargets(boolean isEnabled) {
        mIsEnabled = isEnabled;
    }

    /** Returns whether replaced targets are excluded. */
    public boolean isEnabled() {
        return mIsEnabled;
    }

    /** Returns whether nothing is recorded, which is the usual case. */
    public boolean isEmpty() {
        return mProofs.isEmpty();
    }

    /** Returns whether a target must not get a request, because it has been replaced. */
    public boolean isExcluded(String incarnation, long nowMillis) {
        Proof proof = mProofs.get(incarnation);
        return proof != null && proof.excludes(nowMillis);
    }

    /**
     * Records a 421 that this VM received for a request that named the incarnation.
     *
     * @param sentMillis when the request was sent, in milliseconds; only a request that was sent
     *     after the first 421 confirms it
     * @param registered the registered incarnations of the service
     * @return whether the target is excluded and wasn't before
     */
    public synchronized boolean onMisdirected(
            String incarnation, long sentMillis, Collection<String> registered, long nowMillis) {
        Proof known = mProofs.get(incarnation);
        boolean isConfirmed = known != null && known.isOwn() && sentMillis > known.sinceMillis();
        if (known != null && known.isOwn() && !isConfirmed) {
            return false;
        }
        return add(incarnation, new Proof(true, nowMillis, isConfirmed), registered, nowMillis);
    }

    /**
     * Records that another VM received a 421 for the incarnation.
     *
     * @param registered the registered incarnations of the service
     * @return whether the target is excluded and wasn't before
     */
    public synchronized boolean onPeerMisdirected(
            String incarnation, Collection<String> registered, long nowMillis) {
        Proof known = mProofs.get(incarnation);
        if (known != null && (known.isOwn() || known.excludes(nowMillis))) {
            return false;
        }
        return add(incarnation, new Proof(false, nowMillis, false), registered, nowMillis);
    }

    private boolean add(
            String incarnation, Proof proof, Collection<String> registered, long nowMillis) {
        boolean wasExcluded = isExcluded(incarnation, nowMillis);
        if (!mIsEnabled || !registered.contains(incarnation)) {
            return false;
        }
        if (!wasExcluded && !hasRoom(registered, nowMillis)) {
            return false;
        }
        mProofs.put(incarnation, proof);
        if (proof.isOwn()) {
            mNews.put(incarnation, nowMillis);
        }
        return !wasExcluded;
    }

    /** Returns whether one more target of a service may be excluded; one of several always may. */
    private boolean hasRoom(Collection<String> registered, long nowMillis) {
        long excluded = registered.stream().filter(target -> isExcluded(target, nowMillis)).count();
        return excluded == 0
                ? registered.size() > 1
                : excluded + 1 <= MAX_EXCLUDED_SHARE * registered.size();
    }

    /**
     * Returns the incarnations for which this VM lately received a 421.
     *
     * @param reportIntervalMillis the interval at which the other VMs are told, in milliseconds
     */
    public List<String> recentlyReplaced(long reportIntervalMillis, long nowMillis) {
        long newsMillis = Math.max(NEWS_MILLIS, MIN_REPORTS * reportIntervalMillis);
        mNews.values().removeIf(foundMillis -> nowMillis - foundMillis > newsMillis);
        return List.copyOf(mNews.keySet());
    }

    /**
     * Discards the records of targets that aren't registered any more, also because a newer start
     * is.
     *
     * @param isRegistered returns whether a target is registered, by its incarnation
     */
    public synchronized void evict(Predicate<String> isRegistered) {
        mProofs.keySet().removeIf(incarnation -> !isRegistered.test(incarnation));
        mNews.keySet().removeIf(incarnation -> !isRegistered.test(incarnation));
    }
}
