package org.dahliapass.http;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The connections of a server whose last response was sent and whose clients have not closed them
 * yet, oldest first. Confined to the server's event loop; the counts may be read by any thread.
 */
final class LingeringConnections {
    /** The connections that may linger in addition to those that the server accepts. */
    static final int RESERVED_CONNECTIONS = 128;

    private final Set<ServerConnection> mConnections = new LinkedHashSet<>();
    private final Map<LingerEnd, Integer> mEnds = new ConcurrentHashMap<>();
    private volatile int mCount;

    /** Adds a connection. */
    void add(ServerConnection connection) {
        mConnections.add(connection);
        mCount = mConnections.size();
    }

    /** Removes a connection that is closed, and counts how it has ended. */
    void remove(ServerConnection connection, LingerEnd end) {
        if (mConnections.remove(connection)) {
            mCount = mConnections.size();
            mEnds.merge(end, 1, Integer::sum);
        }
    }

    /** Returns the oldest connection; there must be one. */
    ServerConnection oldest() {
        return mConnections.iterator().next();
    }

    boolean contains(ServerConnection connection) {
        return mConnections.contains(connection);
    }

    /** Returns the number of connections; any thread may call this. */
    int count() {
        return mCount;
    }

    /** Returns the number of connections that don't take up room for others. */
    int reservedCount() {
        return Math.min(mCount, RESERVED_CONNECTIONS);
    }

    /** Returns how many connections have ended in which way; any thread may call this. */
    Map<LingerEnd, Integer> ends() {
        Map<LingerEnd, Integer> ends = new EnumMap<>(LingerEnd.class);
        ends.putAll(mEnds);
        return ends;
    }
}
