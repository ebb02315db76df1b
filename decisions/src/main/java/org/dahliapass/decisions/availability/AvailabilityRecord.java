package org.dahliapass.decisions.availability;

import java.util.OptionalLong;

/**
 * What a VM knows of the availability of a target by the target's own statements.
 *
 * @param leavingSinceMillis when the VM learned that the target is leaving, in milliseconds; empty
 *     if it isn't known to leave
 * @param restEndMillis when the rest that the target asked this VM for ends, in milliseconds; empty
 *     if it asked for none or has responded without asking since it ended
 */
public record AvailabilityRecord(OptionalLong leavingSinceMillis, OptionalLong restEndMillis) {
    /** The record of a target that has said nothing. */
    public static final AvailabilityRecord NONE =
            new AvailabilityRecord(OptionalLong.empty(), OptionalLong.empty());

    /** Returns whether the target is leaving. */
    public boolean isLeaving() {
        return leavingSinceMillis.isPresent();
    }

    /**
     * Returns how long the rest lasts from now on, in milliseconds; 0 if the target isn't resting.
     */
    public long restMillis(long nowMillis) {
        return Math.max(0, restEndMillis.orElse(nowMillis) - nowMillis);
    }

    /** Returns this record for a target that says that it is leaving. */
    AvailabilityRecord withLeaving(long nowMillis) {
        return isLeaving()
                ? this
                : new AvailabilityRecord(OptionalLong.of(nowMillis), restEndMillis);
    }

    /** Returns this record for a target that asks for a rest, which never shortens another. */
    AvailabilityRecord withRestUntil(long endMillis) {
        return new AvailabilityRecord(
                leavingSinceMillis,
                OptionalLong.of(Math.max(endMillis, restEndMillis.orElse(endMillis))));
    }

    /**
     * Returns this record for a target that responds without asking for a rest, or null if nothing
     * is known then.
     *
     * @param sentMillis when the request was sent, in milliseconds; one that was sent before the
     *     rest ended says nothing of the time after it
     */
    AvailabilityRecord withoutRest(long sentMillis) {
        if (sentMillis < restEndMillis.orElse(sentMillis)) {
            return this;
        }
        return isLeaving()
                ? new AvailabilityRecord(leavingSinceMillis, OptionalLong.empty())
                : null;
    }

    /** Returns whether nothing was recorded, and no rest has ended, since the given time. */
    boolean isOlderThan(long millis) {
        return leavingSinceMillis.orElse(millis - 1) < millis
                && restEndMillis.orElse(millis - 1) < millis;
    }
}
