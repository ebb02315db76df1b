package org.dahliapass.wire;

import org.dahliapass.model.Endpoint;

/**
 * A filter for messages, with which tests simulate one-way network partitions.
 *
 * <p>Datagrams are filtered by the peer's address, in both directions. Requests and replies are
 * filtered at the requester: the request as {@link Direction#OUT}, the reply as {@link
 * Direction#IN}.
 */
@FunctionalInterface
public interface LinkFilter {
    /** Allows all messages. */
    LinkFilter ALLOW_ALL = (peer, direction) -> true;

    /** Returns whether a message is allowed; otherwise it is dropped silently. */
    boolean allows(Endpoint peer, Direction direction);
}
