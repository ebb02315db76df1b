package org.dahliapass.decisions.membership;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/**
 * One datagram between VMs.
 *
 * @param sender who sends it
 * @param recipientIncarnation the incarnation it is meant for; 0 for whichever
 * @param kind what it asks or answers
 * @param sequence pairs a ping with its answer
 * @param subject whom an indirect ping is about
 * @param headNumber the newest configuration change that the sender has
 * @param updates news; the first is the sender's own
 */
public record GossipMessage(
        VmIdentity sender,
        long recipientIncarnation,
        GossipKind kind,
        long sequence,
        Optional<VmIdentity> subject,
        long headNumber,
        List<MemberUpdate> updates) {
    /** Stands for the incarnation of a recipient that the sender doesn't know yet. */
    public static final long ANY_INCARNATION = 0;
}
