package org.dahliapass.wire;

import java.util.concurrent.CompletableFuture;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/** Answers incoming requests, on a traffic thread; it must not block. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Answers a request that the guard let pass.
     *
     * @return the reply with its body; the transport fills in version, request id and status. A
     *     failure is answered by the status FAILED.
     */
    CompletableFuture<PeerReply> onRequest(PeerRequest request);
}
