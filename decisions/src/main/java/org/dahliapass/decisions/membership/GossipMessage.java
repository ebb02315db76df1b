package org.dahliapass.decisions.membership;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/**
 * A gossip datagram between VMs.
 *
 * @param recipientIncarnation the incarnation it is addressed to, or {@link #ANY_INCARNATION}
 * @param sequence the number that pairs a ping with its acknowledgement
 * @param subject the member that an indirect ping is about
 * @param headNumber the number of the newest configuration change that the sender has
 * @param updates member updates; the first is the sender's own
 */
public record GossipMessage(
        VmIdentity sender,
        long recipientIncarnation,
        GossipKind kind,
        long sequence,
        Optional<VmIdentity> subject,
        long headNumber,
        List<MemberUpdate> updates) {
    /** The recipient's incarnation if the sender doesn't know it yet. */
    public static final long ANY_INCARNATION = 0;
}
