package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * A request for changes of the fleet-wide log.
 *
 * @param since highest number up to which the requester knows all changes
 * @param groups the groups that are incomplete at the requester
 */
public record RecordsRequest(long since, List<CustomerGroup> groups) {

    /** Creates a request with a copy of the list. */
    public RecordsRequest {
        groups = List.copyOf(groups);
    }
}
