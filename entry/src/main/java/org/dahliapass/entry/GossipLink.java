package org.dahliapass.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;

/** Sends membership messages to other VMs. */
interface GossipLink {
    /** Sends a datagram without a delivery guarantee. */
    void send(Endpoint peer, GossipMessage message);

    /** Requests the member list of a peer; fails if the peer does not reply. */
    CompletableFuture<List<MemberUpdate>> exchange(
            Endpoint peer, long recipientIncarnation, JoinRequest request);
}
