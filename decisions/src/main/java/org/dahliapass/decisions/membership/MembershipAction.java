package org.dahliapass.decisions.membership;

import java.util.Optional;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/** What {@link Membership} wants done. */
public sealed interface MembershipAction {

    /**
     * Send a datagram.
     *
     * @param to the recipient's address for peers
     * @param message what to send
     */
    record SendGossip(Endpoint to, GossipMessage message) implements MembershipAction {}

    /**
     * Send a join request and hand the reply to {@link Membership#onJoinReply}; a failure needs no
     * answer.
     *
     * @param peer the recipient's address for peers
     * @param recipientIncarnation the incarnation meant; 0 for whichever
     * @param request what to send
     */
    record ExchangeMembers(Endpoint peer, long recipientIncarnation, JoinRequest request)
            implements MembershipAction {}

    /**
     * Tell the other parts that a VM's state or incarnation changed.
     *
     * @param before what was held until now; empty for a VM that is new here
     * @param after what is held now
     */
    record MemberChanged(Optional<MemberUpdate> before, MemberUpdate after)
            implements MembershipAction {}

    /**
     * Stop this process: a newer incarnation of its name runs.
     *
     * @param successor the newer incarnation
     */
    record Replaced(VmIdentity successor) implements MembershipAction {}
}
