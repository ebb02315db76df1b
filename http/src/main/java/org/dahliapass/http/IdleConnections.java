package org.dahliapass.http;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The connections of a server that wait for their next request, in the order in which they began
 * to. All calls are O(1). Confined to the server's event loop.
 */
final class IdleConnections {
    private final Set<ServerConnection> mConnections = new LinkedHashSet<>();

    /** Records whether an open connection is idle; an idle one keeps its place. */
    void update(ServerConnection connection, boolean isIdle) {
        if (isIdle) {
            mConnections.add(connection);
        } else {
            mConnections.remove(connection);
        }
    }

    /** Returns the connection that has been idle the longest, if there is one. */
    Optional<ServerConnection> longestIdle() {
        return mConnections.stream().findFirst();
    }
}
