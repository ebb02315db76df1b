package org.dahliapass.wire;

import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.message.Gossip;

/** Takes incoming datagrams, on a traffic thread; it must not block. */
@FunctionalInterface
public interface GossipHandler {
    /** Takes a datagram that the guard let pass. */
    void onGossip(Endpoint from, Gossip gossip);
}
