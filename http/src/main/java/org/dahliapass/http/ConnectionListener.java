package org.dahliapass.http;

/** Decides on the connections of a server. Called on the server's event loop. */
public interface ConnectionListener {
    /** Accepts every connection. */
    ConnectionListener NONE =
            new ConnectionListener() {
                @Override
                public boolean accepts(int connections) {
                    return true;
                }

                @Override
                public Runnable onOpened() {
                    return () -> {};
                }
            };

    /**
     * Returns whether another connection may be opened. If not, idle connections are closed one by
     * one, longest idle first, while this is asked again.
     *
     * @param connections the number of open connections of the server
     */
    boolean accepts(int connections);

    /** Records that a connection is opened; returns what to call once it is closed. */
    Runnable onOpened();
}
