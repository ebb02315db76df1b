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

/** Wraps messages in the envelope of the transport between VMs, to compute their sizes. */
final class Envelope {
    /** Bytes of the Ethernet, IPv4 and UDP headers of a datagram. */
    static final int DATAGRAM_HEADERS = 42;

    /** Bytes of the Ethernet, IPv4 and TCP headers and the length prefix of a message. */
    static final int STREAM_HEADERS = 58;

    private static final String FLEET = "production";
    private static final long REQUEST_ID = 1_000_000;

    private Envelope() {}

    /** Returns the datagram that carries a gossip message. */
    static Gossip datagram(SendGossip gossip) {
        return GossipCodec.encode(gossip.message())
                .setVersion(PeerTransport.VERSION)
                .setFleet(FLEET)
                .build();
    }

    /** Returns the encoded size of a member list reply, in bytes. */
    static int listBytes(List<MemberUpdate> members) {
        return bytes(PeerReply.newBuilder().setJoin(GossipCodec.encode(members)));
    }

    /** Returns the encoded size of a request, in bytes. */
    static int bytes(VmIdentity sender, PeerRequest.Builder request) {
        return request.setVersion(PeerTransport.VERSION)
                .setFleet(FLEET)
                .setSender(GossipCodec.encode(sender))
                .setRecipientIncarnation(sender.incarnation())
                .setRequestId(REQUEST_ID)
                .build()
                .getSerializedSize();
    }

    /** Returns the encoded size of a reply, in bytes. */
    static int bytes(PeerReply.Builder reply) {
        return reply.setVersion(PeerTransport.VERSION)
                .setRequestId(REQUEST_ID)
                .setStatus(ReplyStatus.OK)
                .build()
                .getSerializedSize();
    }
}
