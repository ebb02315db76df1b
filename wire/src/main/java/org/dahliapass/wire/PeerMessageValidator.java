package org.dahliapass.wire;

import java.util.function.Predicate;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.Identity;
import org.dahliapass.wire.message.MemberStatus;
import org.dahliapass.wire.message.MemberUpdate;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;

/**
 * Refuses strangers: only members of this fleet speak.
 *
 * <p>Three checks, in this order. The fleet's name must be this one's, or the message is of another
 * fleet that was given a wrong or reused address. The incarnation that the sender means must be
 * this process's, or it was meant for a process that ran here before; only a join and a datagram
 * with the sender's own news may leave it open. The sender must be a member; a join and a datagram
 * with the sender's own news may come from a VM that isn't one yet. A refused datagram is dropped;
 * a refused request is answered by its reason. Each is counted.
 *
 * <p>This keeps misdirected and outdated messages out. It doesn't prove who sent a message: whoever
 * can reach the port and knows the fleet's name can claim to be a VM.
 */
final class PeerMessageValidator {
    private final String mFleet;
    private final VmIdentity mSelf;
    private final Predicate<VmIdentity> mMembers;

    PeerMessageValidator(String fleet, VmIdentity self, Predicate<VmIdentity> members) {
        mFleet = fleet;
        mSelf = self;
        mMembers = members;
    }

    /** Returns OK or why the datagram is refused. */
    ReplyStatus validate(Gossip gossip) {
        return validate(
                gossip.getFleet(),
                gossip.getRecipientIncarnation(),
                gossip.getSender(),
                carriesOwnNews(gossip));
    }

    /** Returns OK or why the request is refused. */
    ReplyStatus validate(PeerRequest request) {
        return validate(
                request.getFleet(),
                request.getRecipientIncarnation(),
                request.getSender(),
                request.hasJoin());
    }

    private ReplyStatus validate(
            String fleet, long recipientIncarnation, Identity sender, boolean introduces) {
        if (!fleet.equals(mFleet)) {
            return ReplyStatus.WRONG_FLEET;
        }
        boolean open = introduces && recipientIncarnation == 0;
        if (!open && recipientIncarnation != mSelf.incarnation()) {
            return ReplyStatus.WRONG_INCARNATION;
        }
        VmIdentity identity = new VmIdentity(sender.getName(), sender.getIncarnation());
        return introduces || mMembers.test(identity) ? ReplyStatus.OK : ReplyStatus.NOT_A_MEMBER;
    }

    private static boolean carriesOwnNews(Gossip gossip) {
        for (MemberUpdate update : gossip.getMembersList()) {
            if (update.getIdentity().equals(gossip.getSender())) {
                return update.getStatus() == MemberStatus.ALIVE
                        || update.getStatus() == MemberStatus.LEAVING;
            }
        }
        return false;
    }
}
