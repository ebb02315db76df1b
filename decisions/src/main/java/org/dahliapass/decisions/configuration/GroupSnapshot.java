package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * The newest change of each customer of a group.
 *
 * @param newest the changes in any order
 */
public record GroupSnapshot(CustomerGroup group, List<ChangeRecord> newest) {

    /** Creates a snapshot with a copy of the list. */
    public GroupSnapshot {
        newest = List.copyOf(newest);
    }
}
