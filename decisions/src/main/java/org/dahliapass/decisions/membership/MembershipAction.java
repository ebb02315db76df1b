package org.dahliapass.decisions.membership;

import java.util.Optional;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/** An action that {@link Membership} requests of its caller. */
public sealed interface MembershipAction {

    /**
     * Send a datagram.
     *
     * @param to the recipient's peer endpoint
     */
    record SendGossip(Endpoint to, GossipMessage message) implements MembershipAction {}

    /**
     * Send a join request and pass the reply to {@link Membership#onJoinReply}; ignore a failure.
     *
     * @param peer the recipient's peer endpoint
     * @param recipientIncarnation the recipient's incarnation, or {@link
     *     GossipMessage#ANY_INCARNATION}
     */
    record ExchangeMembers(Endpoint peer, long recipientIncarnation, JoinRequest request)
            implements MembershipAction {}

    /**
     * Notify the listeners that a member's state or incarnation changed.
     *
     * @param before the previous update; empty for a new member
     * @param after the current update
     */
    record MemberChanged(Optional<MemberUpdate> before, MemberUpdate after)
            implements MembershipAction {}

    /**
     * Stop this process, because a newer incarnation of its name is running.
     *
     * @param successor the newer incarnation
     */
    record Replaced(VmIdentity successor) implements MembershipAction {}
}
