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

/** Measures the member list, gossip, cell planning and discovery. */
final class MembershipBenchmark implements Benchmark {
    private static final int[] MEMBERS = {500, 1_500, 3_700};
    private static final int[] UPDATES = {1, 4, 8};
    private static final int CELL = 6;
    private static final int ADDRESSES = 4;
    private static final long SEED = 7;
    private static final ServiceId SERVICE = new ServiceId("provider-7", "service-7");

    /** A VM's state of the fleet: the membership and the published snapshot. */
    private record FleetState(
            Membership membership,
            List<MemberUpdate> members,
            FleetView view,
            Set<VmIdentity> identities) {}

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                meter.measureHeap(Quantity.MEMBER_HEAP, MEMBERS, size -> fleetState(list(size))));
        measurements.add(
                meter.measureTime(Quantity.GOSSIP_SECOND, MEMBERS, 1, GossipWorkload::new));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.DATAGRAM_BYTES, UPDATES, MembershipBenchmark::datagram));
        measurements.add(
                meter.measureTime(Quantity.MEMBER_CHANGE, MEMBERS, 1, MembershipBenchmark::change));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.LIST_BYTES, MEMBERS, MembershipBenchmark::listBytes));
        measurements.add(
                meter.measureTime(Quantity.LIST_TIME, MEMBERS, 1, MembershipBenchmark::exchange));
        measurements.add(
                meter.measureTime(Quantity.CELL_PLAN, MEMBERS, 1, MembershipBenchmark::plan));
        measurements.add(
                meter.measureTime(Quantity.ASK, MEMBERS, 1, MembershipBenchmark::discover));
        return measurements;
    }

    /** Returns decoded updates of the other members, which share no objects with each other. */
    private static List<MemberUpdate> list(int members) {
        try {
            byte[] bytes = GossipCodec.encode(SampleFleet.members(1, members)).toByteArray();
            return GossipCodec.decode(JoinReply.parseFrom(bytes));
        } catch (InvalidProtocolBufferException failure) {
            throw new OperationException(
                    "decode member list", "lab", "The encoded sample can't be decoded.", failure);
        }
    }

    /** Returns a membership that knows the given members. */
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

    private static FleetState fleetState(List<MemberUpdate> others) {
        return publish(membership(others, SEED));
    }

    /** Builds the snapshot that the fleet service publishes after each change. */
    private static FleetState publish(Membership membership) {
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
        return new FleetState(membership, List.copyOf(members), view, identities);
    }

    private static double datagram(double updates) {
        MemberUpdate sender = SampleFleet.member(1);
        GossipMessage message =
                new GossipMessage(
                        sender.identity(),
                        SampleFleet.identity(2).incarnation(),
                        GossipKind.PING,
                        100_000,
                        Optional.empty(),
                        1_000_000,
                        SampleFleet.members(1, 1 + (int) updates));
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
                throw new OperationException(
                        "decode list", "lab", "The encoded sample can't be decoded.", failure);
            }
        };
    }

    /** Changes the state of one member in each run and publishes the snapshot. */
    private static Runnable change(int members) {
        Membership membership = membership(list(members), SEED);
        Random random = new Random(SEED);
        int[] refutation = new int[1];
        return () -> {
            int subject = 2 + random.nextInt(members - 2);
            refutation[0]++;
            MemberState state = random.nextBoolean() ? MemberState.ALIVE : MemberState.LEAVING;
            MemberUpdate update = SampleFleet.member(subject, state, refutation[0]);
            GossipMessage rumor =
                    new GossipMessage(
                            SampleFleet.identity(1),
                            GossipMessage.ANY_INCARNATION,
                            GossipKind.RUMOR,
                            0,
                            Optional.empty(),
                            0,
                            List.of(update));
            membership.onGossip(rumor, 0);
            publish(membership);
        };
    }

    private static Runnable plan(int members) {
        List<MemberUpdate> list = list(members);
        return () -> CellPlanner.plan(SERVICE, CELL, list);
    }

    private static Runnable discover(int members) {
        List<MemberUpdate> list = list(members);
        AddressSelector selector =
                new AddressSelector(ADDRESSES, Duration.ofSeconds(30), new SplittableRandom(SEED));
        return () ->
                selector.select(
                        CellPlanner.plan(SERVICE, CELL, list), Optional.of(SampleFleet.zone(0)));
    }
}
