package org.dahliapass.wire;

import org.dahliapass.model.Endpoint;

/**
 * Decides which messages pass; tests cut links one way by it.
 *
 * <p>A datagram is asked about by the peer's address for peers, in both directions. A request and
 * its reply are asked about at the requester: the request as {@link Direction#OUT}, the reply as
 * {@link Direction#IN}.
 */
@FunctionalInterface
public interface LinkFilter {
    /** Lets everything pass. */
    LinkFilter ALLOW_ALL = (peer, direction) -> true;

    /** Returns whether a message passes; one that doesn't is lost without a sign. */
    boolean allows(Endpoint peer, Direction direction);
}
