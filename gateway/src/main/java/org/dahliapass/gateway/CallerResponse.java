package org.dahliapass.gateway;

import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;

/** An answer that can be given to a caller once; used on the traffic thread only. */
interface CallerResponse {
    /** Gives it. */
    void send(ServerCall call);

    /** Lets go of an answer that nobody gets. */
    void discard();

    /** Returns an answer that is whole. */
    static CallerResponse buffered(ServerResponse answer) {
        return new Buffered(answer);
    }

    /**
     * An answer that is whole.
     *
     * @param response the answer
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
