package org.dahliapass.http;

/** Takes the requests of a server. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Takes a request whose head has arrived. Runs on the connection's event loop; the call is
     * answered then or later, once, on the same loop.
     */
    void onRequest(ServerCall call);
}
