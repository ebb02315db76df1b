package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * What a peer answers to a {@link RecordsRequest}.
 *
 * @param firstNumber from this number up to {@code through} the peer knows every change
 * @param through the newest number up to which the peer knows all changes
 * @param records of these changes the ones that were asked for, by growing number
 * @param snapshots the groups that the peer knows whole, as of {@code through}
 */
public record RecordsResponse(
        long firstNumber, long through, List<ChangeRecord> records, List<GroupSnapshot> snapshots) {

    /** Copies the lists. */
    public RecordsResponse {
        records = List.copyOf(records);
        snapshots = List.copyOf(snapshots);
    }
}
