package org.dahliapass.decisions.availability;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What this VM knows of the availability of the targets of all services, by their own statements.
 *
 * <p>A statement holds for the incarnation that made it, not for a later one at its address, and as
 * long as that incarnation is registered, even if its entry in the store lapses in between.
 * Thread-safe.
 */
public final class TargetAvailability {
    private final Map<String, AvailabilityRecord> mRecords = new ConcurrentHashMap<>();

    /** Returns whether no target has said anything, which is the usual case. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns what is known of a target by its incarnation. */
    public AvailabilityRecord of(String incarnation) {
        return mRecords.getOrDefault(incarnation, AvailabilityRecord.NONE);
    }

    /**
     * Records what a response of a target says.
     *
     * @return whether the target is leaving and that wasn't known before
     */
    public boolean onStatement(
            String incarnation, AvailabilityStatement statement, long nowMillis) {
        statement
                .restMillis()
                .ifPresent(
                        rest ->
                                update(
                                        incarnation,
                                        of(incarnation).withRestUntil(nowMillis + rest)));
        return statement.isLeaving() && onLeaving(incarnation, nowMillis);
    }

    /**
     * Records that a target is leaving.
     *
     * @return whether that wasn't known before
     */
    public boolean onLeaving(String incarnation, long nowMillis) {
        AvailabilityRecord before = of(incarnation);
        update(incarnation, before.withLeaving(nowMillis));
        return !before.isLeaving();
    }

    private void update(String incarnation, AvailabilityRecord record) {
        mRecords.put(incarnation, record);
    }
}
