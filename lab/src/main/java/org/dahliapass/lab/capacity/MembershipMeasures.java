package org.dahliapass.lab.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.dahliapass.decisions.assignment.AddressSelector;
import org.dahliapass.decisions.assignment.CellPlanner;
import org.dahliapass.decisions.membership.GossipKind;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Membership;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.decisions.membership.MembershipSettings;
import org.dahliapass.entry.FleetMember;
import org.dahliapass.entry.FleetView;
import org.dahliapass.entry.GossipCodec;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.JoinReply;

/** Measures the member list, gossip, cells and asks. */
final class MembershipMeasures implements Measures {
    private static final int[] MEMBERS = {500, 1_500, 3_700};
    private static final int[] NEWS = {1, 4, 8};
    private static final int CELL = 6;
    private static final int ADDRESSES = 4;
    private static final long SEED = 7;
    private static final ServiceId SERVICE = new ServiceId("provider-7", "service-7");

    /** What a VM holds of the fleet: the list, and the snapshot that its other parts read. */
    private record Held(
            Membership membership,
            List<MemberUpdate> members,
            FleetView view,
            Set<VmIdentity> identities) {}

    @Override
    public List<Slope> take(Probe probe) {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(probe.heap(Quantity.MEMBER_HEAP, MEMBERS, size -> held(list(size))));
        slopes.add(probe.time(Quantity.GOSSIP_SECOND, MEMBERS, 1, GossipSecond::new));
        slopes.add(Probe.exact(Quantity.DATAGRAM_BYTES, NEWS, MembershipMeasures::datagram));
        slopes.add(probe.time(Quantity.MEMBER_CHANGE, MEMBERS, 1, MembershipMeasures::change));
        slopes.add(Probe.exact(Quantity.LIST_BYTES, MEMBERS, MembershipMeasures::listBytes));
        slopes.add(probe.time(Quantity.LIST_TIME, MEMBERS, 1, MembershipMeasures::exchange));
        slopes.add(probe.time(Quantity.CELL_PLAN, MEMBERS, 1, MembershipMeasures::plan));
        slopes.add(probe.time(Quantity.ASK, MEMBERS, 1, MembershipMeasures::ask));
        return slopes;
    }

    /** Returns the others' news as they come off the wire, so that nothing is shared by chance. */
    private static List<MemberUpdate> list(int members) {
        try {
            byte[] bytes = GossipCodec.encode(SampleFleet.members(1, members)).toByteArray();
            return GossipCodec.decode(JoinReply.parseFrom(bytes));
        } catch (InvalidProtocolBufferException failure) {
            throw new OperationException(
                    "decode member list", "lab", "What was encoded can't be decoded.", failure);
        }
    }

    /** Returns a membership that has taken a list. */
    static Membership membership(List<MemberUpdate> others, long seed) {
        Membership membership =
                new Membership(
                        MembershipSettings.defaults(),
                        SampleFleet.member(0),
                        new SplittableRandom(seed),
                        0);
        membership.onJoinReply(others, 0);
        return membership;
    }

    private static Held held(List<MemberUpdate> others) {
        return publish(membership(others, SEED));
    }

    /** Does what the fleet service does after each change. */
    private static Held publish(Membership membership) {
        List<MemberUpdate> members = membership.members();
        List<Vm> usable = new ArrayList<>();
        List<FleetMember> all = new ArrayList<>();
        for (MemberUpdate member : members) {
            if (member.state() == MemberState.ALIVE) {
                usable.add(member.vm());
            }
            all.add(new FleetMember(member.vm(), member.operators(), member.state().name()));
        }
        Set<VmIdentity> identities =
                members.stream().map(MemberUpdate::identity).collect(Collectors.toSet());
        FleetView view = new FleetView(membership.self().vm(), usable, all);
        return new Held(membership, List.copyOf(members), view, identities);
    }

    private static double datagram(double news) {
        MemberUpdate sender = SampleFleet.member(1);
        GossipMessage message =
                new GossipMessage(
                        sender.identity(),
                        SampleFleet.identity(2).incarnation(),
                        GossipKind.PING,
                        100_000,
                        Optional.empty(),
                        1_000_000,
                        SampleFleet.members(1, 1 + (int) news));
        Gossip sent = Envelope.datagram(new SendGossip(sender.vm().peerEndpoint(), message));
        return sent.getSerializedSize();
    }

    private static double listBytes(double members) {
        return Envelope.listBytes(SampleFleet.members(1, (int) members));
    }

    private static Runnable exchange(int members) {
        Membership membership = membership(list(members), SEED);
        return () -> {
            try {
                byte[] sent = GossipCodec.encode(membership.members()).toByteArray();
                membership.onJoinReply(GossipCodec.decode(JoinReply.parseFrom(sent)), 0);
            } catch (InvalidProtocolBufferException failure) {
                throw new OperationException("decode list", "lab", "It can't be decoded.", failure);
            }
        };
    }

    /** A member's state changes with each run, and the snapshot is published. */
    private static Runnable change(int members) {
        Membership membership = membership(list(members), SEED);
        Random random = new Random(SEED);
        int[] refutation = new int[1];
        return () -> {
            int subject = 2 + random.nextInt(members - 2);
            refutation[0]++;
            MemberState state = random.nextBoolean() ? MemberState.ALIVE : MemberState.LEAVING;
            MemberUpdate news = SampleFleet.member(subject, state, refutation[0]);
            GossipMessage rumor =
                    new GossipMessage(
                            SampleFleet.identity(1),
                            GossipMessage.ANY_INCARNATION,
                            GossipKind.RUMOR,
                            0,
                            Optional.empty(),
                            0,
                            List.of(news));
            membership.onGossip(rumor, 0);
            publish(membership);
        };
    }

    private static Runnable plan(int members) {
        List<MemberUpdate> list = list(members);
        return () -> CellPlanner.plan(SERVICE, CELL, list);
    }

    private static Runnable ask(int members) {
        List<MemberUpdate> list = list(members);
        AddressSelector policy =
                new AddressSelector(ADDRESSES, Duration.ofSeconds(30), new SplittableRandom(SEED));
        return () ->
                policy.select(
                        CellPlanner.plan(SERVICE, CELL, list), Optional.of(SampleFleet.zone(0)));
    }
}
