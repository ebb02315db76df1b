package org.dahliapass.decisions.availability;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.model.TargetInstance;

/**
 * What this VM knows of the availability of the targets of all services, by their own statements.
 *
 * <p>A statement holds for the instance that made it, not for a later one at its address.
 * Thread-safe.
 */
public final class TargetAvailability {
    private final Map<TargetInstance, AvailabilityRecord> mRecords = new ConcurrentHashMap<>();

    /** Returns what is known of a target. */
    public AvailabilityRecord of(TargetInstance target) {
        return mRecords.getOrDefault(target, AvailabilityRecord.NONE);
    }

    /**
     * Records what a response of a target says.
     *
     * @return whether the target is leaving and that wasn't known before
     */
    public boolean onStatement(
            TargetInstance target, AvailabilityStatement statement, long nowMillis) {
        AvailabilityRecord before = of(target);
        if (statement.isLeaving()) {
            update(target, before.withLeaving(nowMillis));
        }
        if (statement.restMillis().isPresent()) {
            long endMillis = nowMillis + statement.restMillis().getAsLong();
            update(target, of(target).withRestUntil(endMillis));
        }
        return statement.isLeaving() && !before.isLeaving();
    }

    private void update(TargetInstance target, AvailabilityRecord record) {
        mRecords.put(target, record);
    }
}
