package org.dahliapass.wire;

import java.util.concurrent.CompletableFuture;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/** Handles incoming requests. Called on a traffic thread; must not block. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a validated request.
     *
     * @return the reply with its body; the transport sets the version, request id and status. On
     *     failure, it replies with status FAILED.
     */
    CompletableFuture<PeerReply> onRequest(PeerRequest request);
}
