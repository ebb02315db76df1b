package org.dahliapass.lab.capacity;

import java.util.List;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.entry.GossipCodec;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.PeerTransport;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;

/** Puts messages into the envelope that the transport between VMs gives them. */
final class Envelope {
    /** Bytes of the headers of Ethernet, IPv4 and UDP around a datagram. */
    static final int DATAGRAM_HEADERS = 42;

    /** Bytes of the headers of Ethernet, IPv4 and TCP, and of the length, around a message. */
    static final int STREAM_HEADERS = 58;

    private static final String FLEET = "production";
    private static final long REQUEST = 1_000_000;

    private Envelope() {}

    /** Returns a datagram as it is sent. */
    static Gossip datagram(SendGossip gossip) {
        return GossipCodec.encode(gossip.message())
                .setVersion(PeerTransport.VERSION)
                .setFleet(FLEET)
                .build();
    }

    /** Returns the size of a whole list as it is sent, in bytes. */
    static int listBytes(List<MemberUpdate> members) {
        return bytes(PeerReply.newBuilder().setJoin(GossipCodec.encode(members)));
    }

    /** Returns the size of a request as it is sent, in bytes. */
    static int bytes(VmIdentity sender, PeerRequest.Builder request) {
        return request.setVersion(PeerTransport.VERSION)
                .setFleet(FLEET)
                .setSender(GossipCodec.encode(sender))
                .setRecipientIncarnation(sender.incarnation())
                .setRequestId(REQUEST)
                .build()
                .getSerializedSize();
    }

    /** Returns the size of a reply as it is sent, in bytes. */
    static int bytes(PeerReply.Builder reply) {
        return reply.setVersion(PeerTransport.VERSION)
                .setRequestId(REQUEST)
                .setStatus(ReplyStatus.OK)
                .build()
                .getSerializedSize();
    }
}
