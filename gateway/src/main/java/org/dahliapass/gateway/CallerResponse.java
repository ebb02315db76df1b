package org.dahliapass.gateway;

import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;

/** A response that can be sent to a caller once. Confined to the traffic thread. */
interface CallerResponse {
    /** Sends the response. */
    void send(ServerCall call);

    /** Returns whether a part of the response has not come from the target yet. */
    default boolean isArriving() {
        return false;
    }

    /**
     * Returns for how long the response could not be read from the target because the caller didn't
     * read it, in milliseconds.
     */
    default long pausedMillis() {
        return 0;
    }

    /** Ends a response that the target has not completed in time. */
    default void endLate() {}

    /** Releases a response that is not sent. */
    void discard();

    /** Returns a response whose body is complete. */
    static CallerResponse buffered(ServerResponse response) {
        return new Buffered(response);
    }

    /**
     * A response whose body is complete.
     *
     * @param response the response
     */
    record Buffered(ServerResponse response) implements CallerResponse {
        @Override
        public void send(ServerCall call) {
            call.respond(response);
        }

        @Override
        public void discard() {}
    }
}
