package org.dahliapass.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of a server whose last response was sent and whose clients have not closed them
 * yet, oldest first. Confined to the server's event loop; the count may be read by any thread.
 */
final class LingeringConnections {
    /** Bounds the descriptors that clients hold which never close their connections. */
    static final int MAX_CONNECTIONS = 128;

    private final Set<ServerConnection> mConnections = new LinkedHashSet<>();
    private volatile int mCount;

    /** Adds a connection; closes the oldest one if there are too many. */
    void add(ServerConnection connection) {
        mConnections.add(connection);
        mCount = mConnections.size();
        if (mCount > MAX_CONNECTIONS) {
            mConnections.iterator().next().close();
        }
    }

    /** Removes a connection that is closed. */
    void remove(ServerConnection connection) {
        mConnections.remove(connection);
        mCount = mConnections.size();
    }

    boolean contains(ServerConnection connection) {
        return mConnections.contains(connection);
    }

    /** Returns the number of connections; any thread may call this. */
    int count() {
        return mCount;
    }
}
