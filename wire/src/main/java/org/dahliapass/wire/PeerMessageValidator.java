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
 * Rejects messages from outside the fleet and messages for an earlier process at this address.
 *
 * <p>Checks, in this order:
 *
 * <ul>
 *   <li>The fleet name must match; an address may be misconfigured or reused by another fleet.
 *   <li>The recipient incarnation must be that of this process. It may be 0 in a join and in a
 *       datagram that announces its sender.
 *   <li>The sender must be a member, except in a join and in a datagram that announces its sender.
 * </ul>
 *
 * <p>The caller drops a rejected datagram, replies to a rejected request with the status, and
 * counts both. This is no authentication: any process that reaches the port and knows the fleet
 * name can claim to be a VM.
 */
final class PeerMessageValidator {
    private final String mFleet;
    private final VmIdentity mSelf;
    private final Predicate<VmIdentity> mMembershipCheck;

    PeerMessageValidator(String fleet, VmIdentity self, Predicate<VmIdentity> membershipCheck) {
        mFleet = fleet;
        mSelf = self;
        mMembershipCheck = membershipCheck;
    }

    /** Returns OK, or the reason why the datagram is rejected. */
    ReplyStatus validate(Gossip gossip) {
        return validate(
                gossip.getFleet(),
                gossip.getRecipientIncarnation(),
                gossip.getSender(),
                announcesSender(gossip));
    }

    /** Returns OK, or the reason why the request is rejected. */
    ReplyStatus validate(PeerRequest request) {
        return validate(
                request.getFleet(),
                request.getRecipientIncarnation(),
                request.getSender(),
                request.hasJoin());
    }

    private ReplyStatus validate(
            String fleet, long recipientIncarnation, Identity sender, boolean announcesSender) {
        if (!fleet.equals(mFleet)) {
            return ReplyStatus.WRONG_FLEET;
        }
        boolean anyIncarnation = announcesSender && recipientIncarnation == 0;
        if (!anyIncarnation && recipientIncarnation != mSelf.incarnation()) {
            return ReplyStatus.WRONG_INCARNATION;
        }
        VmIdentity identity = new VmIdentity(sender.getName(), sender.getIncarnation());
        return announcesSender || mMembershipCheck.test(identity)
                ? ReplyStatus.OK
                : ReplyStatus.NOT_A_MEMBER;
    }

    private static boolean announcesSender(Gossip gossip) {
        for (MemberUpdate update : gossip.getMembersList()) {
            if (update.getIdentity().equals(gossip.getSender())) {
                return update.getStatus() == MemberStatus.ALIVE
                        || update.getStatus() == MemberStatus.LEAVING;
            }
        }
        return false;
    }
}
