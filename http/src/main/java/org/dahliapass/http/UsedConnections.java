package org.dahliapass.http;

import java.util.HashSet;
import java.util.Set;

/**
 * The connections on which a request was written, none of which carries it a second time.
 *
 * <p>Guards against a server that sends a response twice: the copy is read as the response to the
 * next request on the connection. If that is the same request, nothing tells the copy from the
 * response.
 *
 * <p>Not thread-safe; used only on the client's event loop.
 */
public final class UsedConnections {
    private final Set<ClientConnection> mConnections = new HashSet<>();

    void add(ClientConnection connection) {
        mConnections.add(connection);
    }

    boolean contains(ClientConnection connection) {
        return mConnections.contains(connection);
    }
}
