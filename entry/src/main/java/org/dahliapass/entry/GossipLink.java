package org.dahliapass.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;

/** What membership sends to other VMs. */
interface GossipLink {
    /** Sends a datagram; it may get lost. */
    void send(Endpoint peer, GossipMessage message);

    /** Asks a peer for its member list; fails without a word. */
    CompletableFuture<List<MemberUpdate>> exchange(
            Endpoint peer, long recipientIncarnation, JoinRequest request);
}
