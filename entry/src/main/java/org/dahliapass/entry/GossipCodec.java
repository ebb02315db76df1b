package org.dahliapass.entry;

import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.membership.GossipKind;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Address;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.Identity;
import org.dahliapass.wire.message.Join;
import org.dahliapass.wire.message.JoinReply;
import org.dahliapass.wire.message.MemberStatus;

/**
 * Converts between the records of the membership protocol and the messages between VMs.
 *
 * <p>Tolerates additions of newer releases: a datagram of an unknown kind is decoded as a rumor,
 * and a member with an unknown status is skipped.
 */
public final class GossipCodec {
    private GossipCodec() {}

    /** Encodes a datagram; the transport adds the version and the fleet name. */
    public static Gossip.Builder encode(GossipMessage message) {
        Gossip.Builder gossip =
                Gossip.newBuilder()
                        .setSender(encode(message.sender()))
                        .setRecipientIncarnation(message.recipientIncarnation())
                        .setKind(encode(message.kind()))
                        .setSequence(message.sequence())
                        .setHeadNumber(message.headNumber());
        message.subject().map(GossipCodec::encode).ifPresent(gossip::setSubject);
        message.updates().forEach(update -> gossip.addMembers(encode(update)));
        return gossip;
    }

    /** Decodes a datagram. */
    public static GossipMessage decode(Gossip gossip) {
        return new GossipMessage(
                decode(gossip.getSender()),
                gossip.getRecipientIncarnation(),
                decode(gossip.getKind()),
                gossip.getSequence(),
                gossip.hasSubject() ? Optional.of(decode(gossip.getSubject())) : Optional.empty(),
                gossip.getHeadNumber(),
                decodeMembers(gossip.getMembersList()));
    }

    /** Encodes a request for the member list. */
    public static Join encode(JoinRequest request) {
        return Join.newBuilder()
                .addMembers(encode(request.self()))
                .setListDigest(request.digest())
                .build();
    }

    /** Decodes a request for the member list; empty if the sender's own update is missing. */
    public static Optional<JoinRequest> decode(Join join) {
        return decodeMembers(join.getMembersList()).stream()
                .findFirst()
                .map(self -> new JoinRequest(self, join.getListDigest()));
    }

    /** Encodes a member list. */
    public static JoinReply encode(List<MemberUpdate> members) {
        JoinReply.Builder reply = JoinReply.newBuilder();
        members.forEach(update -> reply.addMembers(encode(update)));
        return reply.build();
    }

    /** Decodes a member list. */
    public static List<MemberUpdate> decode(JoinReply reply) {
        return decodeMembers(reply.getMembersList());
    }

    /** Encodes an identity. */
    public static Identity encode(VmIdentity identity) {
        return Identity.newBuilder()
                .setName(identity.name())
                .setIncarnation(identity.incarnation())
                .build();
    }

    /** Decodes an identity. */
    public static VmIdentity decode(Identity identity) {
        return new VmIdentity(identity.getName(), identity.getIncarnation());
    }

    private static org.dahliapass.wire.message.MemberUpdate encode(MemberUpdate update) {
        return org.dahliapass.wire.message.MemberUpdate.newBuilder()
                .setIdentity(encode(update.identity()))
                .setStatus(encode(update.state()))
                .setRefutation(update.refutation())
                .setAvailabilityZone(update.vm().availabilityZone())
                .setCallers(encode(update.vm().callerEndpoint()))
                .setPeers(encode(update.vm().peerEndpoint()))
                .setOperators(encode(update.operators()))
                .build();
    }

    private static List<MemberUpdate> decodeMembers(
            List<org.dahliapass.wire.message.MemberUpdate> members) {
        return members.stream().map(GossipCodec::decode).flatMap(Optional::stream).toList();
    }

    private static Optional<MemberUpdate> decode(org.dahliapass.wire.message.MemberUpdate member) {
        return decode(member.getStatus())
                .map(
                        state ->
                                new MemberUpdate(
                                        decodeVm(member),
                                        decode(member.getOperators()),
                                        state,
                                        member.getRefutation()));
    }

    /** Interns repeated strings, since the list of thousands of VMs stays in memory. */
    private static Vm decodeVm(org.dahliapass.wire.message.MemberUpdate member) {
        return new Vm(
                decode(member.getIdentity()),
                member.getAvailabilityZone().intern(),
                decode(member.getCallers()),
                decode(member.getPeers()));
    }

    private static Address encode(Endpoint endpoint) {
        return Address.newBuilder().setHost(endpoint.host()).setPort(endpoint.port()).build();
    }

    private static Endpoint decode(Address address) {
        return new Endpoint(address.getHost().intern(), address.getPort());
    }

    private static Gossip.Kind encode(GossipKind kind) {
        return switch (kind) {
            case PING -> Gossip.Kind.PING;
            case ACK -> Gossip.Kind.ACK;
            case PING_REQUEST -> Gossip.Kind.PING_REQUEST;
            case INDIRECT_ACK -> Gossip.Kind.INDIRECT_ACK;
            case RUMOR -> Gossip.Kind.RUMOR;
        };
    }

    private static GossipKind decode(Gossip.Kind kind) {
        return switch (kind) {
            case PING -> GossipKind.PING;
            case ACK -> GossipKind.ACK;
            case PING_REQUEST -> GossipKind.PING_REQUEST;
            case INDIRECT_ACK -> GossipKind.INDIRECT_ACK;
            default -> GossipKind.RUMOR;
        };
    }

    private static MemberStatus encode(MemberState state) {
        return switch (state) {
            case ALIVE -> MemberStatus.ALIVE;
            case SUSPECT -> MemberStatus.SUSPECT;
            case LEAVING -> MemberStatus.LEAVING;
            case DEAD -> MemberStatus.DEAD;
        };
    }

    private static Optional<MemberState> decode(MemberStatus status) {
        return switch (status) {
            case ALIVE -> Optional.of(MemberState.ALIVE);
            case SUSPECT -> Optional.of(MemberState.SUSPECT);
            case LEAVING -> Optional.of(MemberState.LEAVING);
            case DEAD -> Optional.of(MemberState.DEAD);
            default -> Optional.empty();
        };
    }
}
