package org.dahliapass.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.dahliapass.decisions.membership.MembershipAction.ExchangeMembers;
import org.dahliapass.decisions.membership.MembershipAction.MemberChanged;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** A simulated fleet of {@link Membership} instances with a virtual clock and network. */
final class SimulatedFleet {
    static final long TICK_MILLIS = 100;
    private static final long SEED_REFRESH_MILLIS = 20_000;
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_BUFFERED = 64;

    /** One VM of the fleet, whose incarnations run one after another. */
    static final class Node {
        final int mIndex;
        long mIncarnation;
        Membership mMembership;
        boolean mPaused;
        long mResumedMillis;
        final Deque<Runnable> mBuffered = new ArrayDeque<>();

        Node(int index) {
            mIndex = index;
        }

        boolean isRunning() {
            return mMembership != null && !mPaused;
        }

        VmIdentity identity() {
            return new VmIdentity("vm-" + mIndex, mIncarnation);
        }
    }

    /** Listener for the changes that instances report. */
    interface Listener {
        void onChange(Node at, MemberChanged change, long nowMillis);
    }

    private record Delivery(long atMillis, long order, Node to, Runnable task) {}

    private record Link(int from, int to) {}

    final List<Node> mNodes = new ArrayList<>();
    final Random mRandom;
    long mNowMillis;
    double mLoss;
    double mDuplication;
    long mMaxDelayMillis = 20;
    long mDatagrams;
    long mDatagramBytes;
    long mJoins;
    Listener mListener = (at, change, now) -> {};
    BiFunction<VmIdentity, GossipMessage, GossipMessage> mInterceptor = (to, message) -> message;
    private final MembershipSettings mSettings;
    private final PriorityQueue<Delivery> mDeliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atMillis)
                            .thenComparingLong(Delivery::order));
    private final Set<Link> mBrokenLinks = new HashSet<>();
    private long mOrder;
    private List<Endpoint> mSeeds = new ArrayList<>();
    private long mNextSeedsMillis;

    SimulatedFleet(int size, MembershipSettings settings, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
        for (int i = 0; i < size; i++) {
            mNodes.add(new Node(i));
        }
    }

    void start(int index) {
        Node node = mNodes.get(index);
        node.mIncarnation++;
        node.mPaused = false;
        node.mBuffered.clear();
        node.mResumedMillis = mNowMillis;
        node.mMembership =
                new Membership(
                        mSettings,
                        update(node.identity(), index, MemberState.ALIVE),
                        new Random(mRandom.nextLong()),
                        mNowMillis);
        node.mMembership.setSeeds(mSeeds);
    }

    /** Starts all VMs with all of them as seeds. */
    void startAll() {
        mNodes.forEach(node -> mSeeds.add(endpoint(node.mIndex)));
        mNodes.forEach(node -> start(node.mIndex));
    }

    /** Starts all VMs with complete member lists. */
    void startAllJoined() {
        startAll();
        List<MemberUpdate> list =
                mNodes.stream()
                        .map(node -> update(node.identity(), node.mIndex, MemberState.ALIVE))
                        .toList();
        mNodes.forEach(node -> perform(node, node.mMembership.onJoinReply(list, mNowMillis)));
    }

    void kill(int index) {
        mNodes.get(index).mMembership = null;
        mNodes.get(index).mPaused = false;
    }

    void pause(int index) {
        mNodes.get(index).mPaused = true;
    }

    void resume(int index) {
        Node node = mNodes.get(index);
        node.mPaused = false;
        node.mResumedMillis = mNowMillis;
        if (node.mMembership != null) {
            node.mBuffered.forEach(Runnable::run);
        }
        node.mBuffered.clear();
    }

    void leave(int index) {
        Node node = mNodes.get(index);
        if (node.isRunning()) {
            perform(node, node.mMembership.leave(mNowMillis));
        }
    }

    void breakLink(int from, int to) {
        mBrokenLinks.add(new Link(from, to));
    }

    void repairAllLinks() {
        mBrokenLinks.clear();
    }

    boolean hasBrokenLink(int index) {
        return mBrokenLinks.stream().anyMatch(link -> link.from() == index || link.to() == index);
    }

    /** Advances the time by one tick. */
    void step() {
        mNowMillis += TICK_MILLIS;
        while (!mDeliveries.isEmpty() && mDeliveries.peek().atMillis() <= mNowMillis) {
            Delivery delivery = mDeliveries.remove();
            deliver(delivery.to(), delivery.task());
        }
        refreshSeeds();
        for (Node node : mNodes) {
            if (node.isRunning()) {
                perform(node, node.mMembership.onTick(mNowMillis));
            }
        }
    }

    void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            step();
        }
    }

    Set<VmIdentity> running() {
        Set<VmIdentity> running = new HashSet<>();
        mNodes.stream().filter(Node::isRunning).forEach(node -> running.add(node.identity()));
        return running;
    }

    static Set<VmIdentity> view(Node node) {
        Set<VmIdentity> view = new HashSet<>();
        node.mMembership.members().forEach(member -> view.add(member.identity()));
        return view;
    }

    static MemberUpdate update(VmIdentity identity, int index, MemberState state) {
        Endpoint peers = endpoint(index);
        Endpoint callers = new Endpoint(peers.host(), 80);
        Endpoint operators = new Endpoint(peers.host(), 90);
        Vm vm = new Vm(identity, "zone-" + index % 3, callers, peers);
        return new MemberUpdate(vm, operators, state, 0);
    }

    static Endpoint endpoint(int index) {
        return new Endpoint("10.0." + index / 256 + "." + index % 256, 7000);
    }

    private Node nodeAt(Endpoint endpoint) {
        String[] parts = endpoint.host().split("\\.", -1);
        return mNodes.get(Integer.parseInt(parts[2]) * 256 + Integer.parseInt(parts[3]));
    }

    private void refreshSeeds() {
        if (mNowMillis < mNextSeedsMillis) {
            return;
        }
        mNextSeedsMillis = mNowMillis + SEED_REFRESH_MILLIS;
        mNodes.stream().filter(Node::isRunning).forEach(n -> n.mMembership.setSeeds(mSeeds));
        mSeeds = new ArrayList<>();
        mNodes.stream().filter(n -> n.mMembership != null).forEach(n -> mSeeds.add(endpointOf(n)));
    }

    private static Endpoint endpointOf(Node node) {
        return endpoint(node.mIndex);
    }

    private void deliver(Node to, Runnable task) {
        if (to.isRunning()) {
            task.run();
        } else if (to.mPaused && to.mBuffered.size() < MAX_BUFFERED) {
            to.mBuffered.add(task);
        }
    }

    private void perform(Node from, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof SendGossip send) {
                sendDatagram(from, send);
            } else if (action instanceof ExchangeMembers exchange) {
                exchange(from, exchange);
            } else if (action instanceof MemberChanged change) {
                mListener.onChange(from, change, mNowMillis);
            }
        }
    }

    private void sendDatagram(Node from, SendGossip send) {
        mDatagrams++;
        send.message().updates().forEach(update -> mDatagramBytes += update.sizeBytes());
        Node to = nodeAt(send.to());
        GossipMessage message = mInterceptor.apply(to.identity(), send.message());
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() >= mLoss && isReachable(from, to)) {
                enqueue(to, () -> perform(to, to.mMembership.onGossip(message, mNowMillis)));
            }
        }
    }

    private void exchange(Node from, ExchangeMembers exchange) {
        Node to = nodeAt(exchange.peer());
        Membership requester = from.mMembership;
        mJoins++;
        if (!isReachable(from, to) || !isReachable(to, from)) {
            return;
        }
        long expiry = mNowMillis + JOIN_TIMEOUT_MILLIS;
        enqueue(
                to,
                () -> {
                    JoinResponse answer =
                            to.mMembership.onJoinRequest(exchange.request(), mNowMillis);
                    perform(to, answer.actions());
                    if (isReachable(to, from) && mNowMillis < expiry) {
                        enqueue(from, () -> reply(from, requester, answer.members()));
                    }
                });
    }

    private void reply(Node node, Membership requester, List<MemberUpdate> members) {
        if (node.mMembership == requester) {
            perform(node, requester.onJoinReply(members, mNowMillis));
        }
    }

    private boolean isReachable(Node from, Node to) {
        return !mBrokenLinks.contains(new Link(from.mIndex, to.mIndex));
    }

    private void enqueue(Node to, Runnable task) {
        long delay = 1 + mRandom.nextLong(mMaxDelayMillis);
        mDeliveries.add(new Delivery(mNowMillis + delay, mOrder++, to, task));
    }
}
