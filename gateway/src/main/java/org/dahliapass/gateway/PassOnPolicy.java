package org.dahliapass.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which requests a VM passes on to another one because it lacks a resource of its own.
 *
 * <p>Confined to the traffic thread.
 */
final class PassOnPolicy {
    /** A request with less time left is refused, since a second VM may use up most of it. */
    static final long MIN_REMAINING_MILLIS = 200;

    /** The time for which a VM that refused a request gets none for the same cause. */
    static final long REFUSED_MILLIS = 1_000;

    private final boolean mIsEnabled;
    private final Map<PassOnCause, Map<String, Long>> mRefusedUntilMillis =
            new EnumMap<>(PassOnCause.class);
    private final Map<PassOnCause, Integer> mInFlight = new EnumMap<>(PassOnCause.class);

    PassOnPolicy(boolean isEnabled) {
        mIsEnabled = isEnabled;
    }

    /**
     * Returns whether a request may be passed on that is about to be refused and was sent to no
     * target.
     *
     * @param cause what this VM lacks
     * @param isRelayed whether another VM passed it on to this one
     * @param remainingMillis the time until its deadline, in milliseconds
     */
    boolean allows(PassOnCause cause, boolean isRelayed, long remainingMillis) {
        return mIsEnabled
                && !isRelayed
                && remainingMillis > MIN_REMAINING_MILLIS
                && mInFlight.getOrDefault(cause, 0) < cause.maxInFlight();
    }

    /** Records that a request is passed on. */
    void onStarted(PassOnCause cause) {
        mInFlight.merge(cause, 1, Integer::sum);
    }

    /** Records that a request that was passed on has ended, whatever became of it. */
    void onEnded(PassOnCause cause) {
        mInFlight.merge(cause, -1, Integer::sum);
    }

    /** Records that a VM refused a request that was passed on to it. */
    void onRefused(String vm, PassOnCause cause, long nowMillis) {
        mRefusedUntilMillis
                .computeIfAbsent(cause, unused -> new HashMap<>())
                .put(vm, nowMillis + REFUSED_MILLIS);
    }

    /** Returns the VMs that refused a request passed on for the same cause in the last second. */
    Set<String> refusing(PassOnCause cause, long nowMillis) {
        Map<String, Long> refusedUntilMillis =
                mRefusedUntilMillis.getOrDefault(cause, new HashMap<>());
        refusedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        return Set.copyOf(refusedUntilMillis.keySet());
    }
}
