package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * What a VM asks of a peer.
 *
 * @param since the newest number up to which the asker knows all changes
 * @param groups the groups of which the asker doesn't know all customers
 */
public record RecordsRequest(long since, List<CustomerGroup> groups) {

    /** Copies the list. */
    public RecordsRequest {
        groups = List.copyOf(groups);
    }
}
