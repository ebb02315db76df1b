package org.dahliapass.wire;

import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.message.Gossip;

/** Handles incoming datagrams. Called on a traffic thread; must not block. */
@FunctionalInterface
public interface GossipHandler {
    /** Handles a validated datagram. */
    void onGossip(Endpoint from, Gossip gossip);
}
