package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * A peer's response to a {@link RecordsRequest}.
 *
 * @param firstNumber lowest number in the peer's window
 * @param through highest number up to which the peer knows all changes
 * @param records the requested changes by ascending number
 * @param snapshots the requested groups that the peer knows completely, as of {@code through}
 */
public record RecordsResponse(
        long firstNumber, long through, List<ChangeRecord> records, List<GroupSnapshot> snapshots) {

    /** Creates a response with copies of the lists. */
    public RecordsResponse {
        records = List.copyOf(records);
        snapshots = List.copyOf(snapshots);
    }
}
