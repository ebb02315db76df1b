package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * What a peer answers to a {@link RecordsRequest}.
 *
 * @param firstNumber from this number up to {@code through} the peer knows every change
 * @param through the newest number up to which the peer knows all changes
 * @param records of these changes the ones that were asked for, by growing number
 * @param fills the groups that the peer knows whole, as of {@code through}
 */
public record RecordsAnswer(
        long firstNumber, long through, List<ChangeRecord> records, List<GroupFill> fills) {

    /** Copies the lists. */
    public RecordsAnswer {
        records = List.copyOf(records);
        fills = List.copyOf(fills);
    }
}
