package org.dahliapass.lab.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.dahliapass.decisions.membership.JoinResponse;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Membership;
import org.dahliapass.decisions.membership.MembershipAction;
import org.dahliapass.decisions.membership.MembershipSettings;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/**
 * Simulates the memberships of a fleet over an in-memory network without delay or loss, and counts
 * their traffic. Time advances in ticks of 100 ms.
 */
final class MembershipSimulation {
    private static final long TICK_MILLIS = 100;
    private static final int TICKS_PER_SECOND = 10;
    private static final long SEED = 3;

    private final List<Node> mNodes = new ArrayList<>();
    private final Map<Endpoint, Node> mByEndpoint = new HashMap<>();
    private final Deque<Runnable> mInFlight = new ArrayDeque<>();
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private long mNowMillis;
    private boolean mPartitioned;

    private static final class Node {
        private final int mNumber;
        private Membership mMembership;
        private boolean mUp = true;
        private long mBytes;

        Node(int number) {
            mNumber = number;
        }

        /** Returns whether the VM is in the first region, which has the first half of the zones. */
        boolean inFirstRegion() {
            return mNumber % SampleFleet.ZONES < SampleFleet.ZONES / 2;
        }
    }

    /** Creates a fleet in which all VMs know each other. */
    MembershipSimulation(int vms) {
        List<MemberUpdate> all = SampleFleet.members(0, vms);
        for (int number = 0; number < vms; number++) {
            Node node = new Node(number);
            node.mMembership = start(all.get(number));
            node.mMembership.onJoinReply(all, 0);
            mNodes.add(node);
            mByEndpoint.put(all.get(number).vm().peerEndpoint(), node);
        }
    }

    private Membership start(MemberUpdate self) {
        return new Membership(MembershipSettings.defaults(), self, mRandom.split(), mNowMillis);
    }

    /** Crashes the VMs with these numbers. */
    void fail(IntPredicate numbers) {
        mNodes.stream()
                .filter(node -> numbers.test(node.mNumber))
                .forEach(node -> node.mUp = false);
    }

    /**
     * Replaces the VMs with these numbers: each leaves, and its successor reuses the name and
     * address.
     */
    void replace(IntPredicate numbers) {
        for (Node node : mNodes) {
            if (numbers.test(node.mNumber)) {
                execute(node, node.mMembership.leave(mNowMillis));
            }
        }
        deliver();
        List<Endpoint> seeds =
                mNodes.stream().map(node -> node.mMembership.self().vm().peerEndpoint()).toList();
        for (Node node : mNodes) {
            if (numbers.test(node.mNumber)) {
                node.mMembership = start(SampleFleet.successor(node.mNumber, mNodes.size()));
                node.mMembership.setSeeds(seeds);
            }
        }
    }

    /** Sets whether all links between the regions are cut. */
    void setPartitioned(boolean partitioned) {
        mPartitioned = partitioned;
    }

    /**
     * Advances by one second and returns the bytes that each running VM sent and received in it.
     */
    long[] advanceSecond() {
        mNodes.forEach(node -> node.mBytes = 0);
        for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
            mNowMillis += TICK_MILLIS;
            for (Node node : mNodes) {
                if (node.mUp) {
                    execute(node, node.mMembership.onTick(mNowMillis));
                    deliver();
                }
            }
        }
        return mNodes.stream().filter(node -> node.mUp).mapToLong(node -> node.mBytes).toArray();
    }

    /** Returns whether every running VM regards exactly the running incarnations as alive. */
    boolean isConverged() {
        Set<VmIdentity> up = new HashSet<>();
        for (Node node : mNodes) {
            if (node.mUp) {
                up.add(node.mMembership.self().identity());
            }
        }
        return mNodes.stream().filter(node -> node.mUp).allMatch(node -> alive(node).equals(up));
    }

    private static Set<VmIdentity> alive(Node node) {
        Set<VmIdentity> alive = new HashSet<>();
        for (MemberUpdate member : node.mMembership.members()) {
            if (member.state() == MemberState.ALIVE) {
                alive.add(member.identity());
            } else {
                alive.add(new VmIdentity("not-alive", 1));
            }
        }
        return alive;
    }

    private void deliver() {
        while (!mInFlight.isEmpty()) {
            mInFlight.remove().run();
        }
    }

    private void execute(Node from, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.SendGossip gossip) {
                send(from, gossip);
            } else if (action instanceof MembershipAction.ExchangeMembers exchange) {
                exchange(from, exchange);
            }
        }
    }

    private void send(Node from, MembershipAction.SendGossip gossip) {
        Node to = mByEndpoint.get(gossip.to());
        long bytes =
                (long) Envelope.datagram(gossip).getSerializedSize() + Envelope.DATAGRAM_HEADERS;
        from.mBytes += bytes;
        if (isLinked(from, to)) {
            mInFlight.add(
                    () -> {
                        to.mBytes += bytes;
                        execute(to, to.mMembership.onGossip(gossip.message(), mNowMillis));
                    });
        }
    }

    private void exchange(Node from, MembershipAction.ExchangeMembers exchange) {
        Node to = mByEndpoint.get(exchange.peer());
        long incarnation = exchange.recipientIncarnation();
        boolean isRecipient =
                incarnation == 0 || incarnation == to.mMembership.self().identity().incarnation();
        if (!isLinked(from, to) || !isRecipient) {
            return;
        }
        mInFlight.add(
                () -> {
                    JoinResponse response =
                            to.mMembership.onJoinRequest(exchange.request(), mNowMillis);
                    long bytes =
                            (long) Envelope.listBytes(response.members()) + Envelope.STREAM_HEADERS;
                    to.mBytes += bytes;
                    from.mBytes += bytes;
                    execute(to, response.actions());
                    execute(from, from.mMembership.onJoinReply(response.members(), mNowMillis));
                });
    }

    private boolean isLinked(Node from, Node to) {
        return to.mUp && (!mPartitioned || from.inFirstRegion() == to.inFirstRegion());
    }
}
