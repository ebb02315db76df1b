package org.dahliapass.http;

/** Handles the requests of a server. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a request whose head has arrived. Runs on the connection's event loop; the handler
     * must respond exactly once, now or later, on the same loop.
     */
    void onRequest(ServerCall call);
}
