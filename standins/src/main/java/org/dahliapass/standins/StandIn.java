package org.dahliapass.standins;

import org.dahliapass.model.Endpoint;

/** A server on the loopback address that takes the place of a part outside the fleet. */
public interface StandIn extends AutoCloseable {
    /** Starts to serve and returns once connections are taken. */
    void start();

    /** Returns where it is reached; only after {@link #start()}. */
    Endpoint endpoint();

    /** Ends the work in flight, then stops; returns once it has stopped. */
    @Override
    void close();
}
