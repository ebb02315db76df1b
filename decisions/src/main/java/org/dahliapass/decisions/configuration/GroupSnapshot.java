package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * The newest change of each customer of a group.
 *
 * @param group the group
 * @param newest the changes, in no order
 */
public record GroupSnapshot(CustomerGroup group, List<ChangeRecord> newest) {

    /** Copies the list. */
    public GroupSnapshot {
        newest = List.copyOf(newest);
    }
}
