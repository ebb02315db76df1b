package org.dahliapass.standins;

import org.dahliapass.model.Endpoint;

/** A loopback server that replaces a system outside the fleet in tests and local runs. */
public interface StandIn extends AutoCloseable {
    /** Starts the server and returns once it accepts connections. */
    void start();

    /** Returns the server's address; valid only after {@link #start()}. */
    Endpoint endpoint();

    /** Completes the requests in flight and returns once the server has stopped. */
    @Override
    void close();
}
