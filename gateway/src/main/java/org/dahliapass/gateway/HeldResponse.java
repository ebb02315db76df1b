package org.dahliapass.gateway;

import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;

/**
 * A response whose body is complete and which holds memory until it is written or discarded.
 *
 * @param response the response
 * @param memory watches whether the caller reads the response
 * @param holding the memory of the body
 */
record HeldResponse(ServerResponse response, RequestMemory memory, MemoryAccount.Holding holding)
        implements CallerResponse {
    @Override
    public void send(ServerCall call) {
        memory.onResponse(call, holding);
        call.respond(response);
    }

    @Override
    public void discard() {
        holding.release();
    }
}
