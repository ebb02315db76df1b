package org.dahliapass.lab.restore;

import java.util.Collections;
import java.util.List;

/**
 * What the VMs did after one restore of the store.
 *
 * @param lostChanges the changes that the copy lacked
 * @param awayMillis how long the store was away, in milliseconds
 * @param delaysMillis for each VM, the time from the write of a configuration to the first request
 *     served by it, in milliseconds
 * @param reads the whole reads of the store since the restore
 */
record RestoreResult(int lostChanges, long awayMillis, List<Long> delaysMillis, int reads) {
    static final String HEADER = "restore lost_changes away_ms in_force_ms_max late_vms reads";

    /** The time within which a configuration must be in force, in milliseconds. */
    static final long LIMIT_MILLIS = 2_000;

    RestoreResult {
        delaysMillis = List.copyOf(delaysMillis);
    }

    /** Returns the number of VMs on which the configuration was in force too late. */
    int lateVms() {
        return (int) delaysMillis.stream().filter(delay -> delay > LIMIT_MILLIS).count();
    }

    /** Returns a row of the table whose columns {@link #HEADER} names. */
    String row(int number) {
        return String.format(
                "%d %d %d %d %d %d",
                number, lostChanges, awayMillis, Collections.max(delaysMillis), lateVms(), reads);
    }
}
