package org.dahliapass.lab.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.membership.GossipKind;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Membership;
import org.dahliapass.decisions.membership.MembershipAction;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.entry.GossipCodec;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.wire.message.Gossip;

/**
 * One second of a VM's gossip in a stable fleet: ten ticks, a ping with its ack, and a ping from
 * another VM; messages are encoded and decoded.
 */
final class GossipWorkload implements Runnable {
    private static final int TICKS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long SEED = 11;

    private final Membership mMembership;
    private final MemberUpdate mOther = SampleFleet.member(1);
    private long mNowMillis;
    private long mSentBytes;

    GossipWorkload(int members) {
        mMembership = MembershipBenchmark.membership(SampleFleet.members(1, members), SEED);
    }

    @Override
    public void run() {
        for (int tick = 0; tick < TICKS; tick++) {
            mNowMillis += TICK_MILLIS;
            for (MembershipAction action : mMembership.onTick(mNowMillis)) {
                if (action instanceof SendGossip sent) {
                    acknowledge(sent);
                }
            }
        }
        GossipMessage ping = message(mOther, GossipKind.PING, 1);
        for (MembershipAction action : mMembership.onGossip(roundTrip(ping), mNowMillis)) {
            if (action instanceof SendGossip sent) {
                countSent(sent);
            }
        }
    }

    private void countSent(SendGossip sent) {
        mSentBytes += Envelope.datagram(sent).toByteArray().length;
    }

    /** Returns the total size of the sent datagrams, in bytes. */
    long sentBytes() {
        return mSentBytes;
    }

    private void acknowledge(SendGossip sent) {
        countSent(sent);
        if (sent.message().kind() == GossipKind.PING) {
            MemberUpdate target = recipient(sent);
            GossipMessage ack = message(target, GossipKind.ACK, sent.message().sequence());
            mMembership.onGossip(roundTrip(ack), mNowMillis);
        }
    }

    /** Returns the recipient; sample incarnations are consecutive in the VM's number. */
    private static MemberUpdate recipient(SendGossip sent) {
        long first = SampleFleet.identity(0).incarnation();
        return SampleFleet.member((int) (sent.message().recipientIncarnation() - first));
    }

    private GossipMessage message(MemberUpdate sender, GossipKind kind, long sequence) {
        return new GossipMessage(
                sender.identity(),
                mMembership.self().identity().incarnation(),
                kind,
                sequence,
                Optional.empty(),
                0,
                List.of(sender));
    }

    private GossipMessage roundTrip(GossipMessage message) {
        try {
            SendGossip sent = new SendGossip(mMembership.self().vm().peerEndpoint(), message);
            return GossipCodec.decode(Gossip.parseFrom(Envelope.datagram(sent).toByteArray()));
        } catch (InvalidProtocolBufferException failure) {
            throw new OperationException(
                    "decode datagram", "lab", "The encoded sample can't be decoded.", failure);
        }
    }
}
