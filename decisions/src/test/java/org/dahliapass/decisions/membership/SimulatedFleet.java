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

/** Passes messages between production {@link Membership} instances, by a virtual clock. */
final class SimulatedFleet {
    static final long TICK_MILLIS = 100;
    private static final long HINT_LAG_MILLIS = 20_000;
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;
    private static final int MOST_BUFFERED = 64;

    /** One place of the fleet, in which incarnations of one VM run one after another. */
    static final class Node {
        final int mIndex;
        long mIncarnation;
        Membership mMembership;
        boolean mFrozen;
        long mAwakeSinceMillis;
        final Deque<Runnable> mBuffered = new ArrayDeque<>();

        Node(int index) {
            mIndex = index;
        }

        boolean isRunning() {
            return mMembership != null && !mFrozen;
        }

        VmIdentity identity() {
            return new VmIdentity("vm-" + mIndex, mIncarnation);
        }
    }

    /** Hears of each change that an instance announces. */
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
    long mMostDelayMillis = 20;
    long mDatagrams;
    long mDatagramBytes;
    long mJoins;
    Listener mListener = (at, change, now) -> {};
    BiFunction<VmIdentity, GossipMessage, GossipMessage> mTamper = (to, message) -> message;
    private final MembershipSettings mSettings;
    private final PriorityQueue<Delivery> mDeliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atMillis)
                            .thenComparingLong(Delivery::order));
    private final Set<Link> mCuts = new HashSet<>();
    private long mOrder;
    private List<Endpoint> mHints = new ArrayList<>();
    private long mNextHintsMillis;

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
        node.mFrozen = false;
        node.mBuffered.clear();
        node.mAwakeSinceMillis = mNowMillis;
        node.mMembership =
                new Membership(
                        mSettings,
                        update(node.identity(), index, MemberState.ALIVE),
                        new Random(mRandom.nextLong()),
                        mNowMillis);
        node.mMembership.setSeeds(mHints);
    }

    /** Starts all VMs, with a VM list that names all of them. */
    void startAll() {
        mNodes.forEach(node -> mHints.add(endpoint(node.mIndex)));
        mNodes.forEach(node -> start(node.mIndex));
    }

    /** Starts all VMs with the whole list, as if they had been running for long. */
    void startAllSettled() {
        startAll();
        List<MemberUpdate> list =
                mNodes.stream()
                        .map(node -> update(node.identity(), node.mIndex, MemberState.ALIVE))
                        .toList();
        mNodes.forEach(node -> perform(node, node.mMembership.onJoinReply(list, mNowMillis)));
    }

    void kill(int index) {
        mNodes.get(index).mMembership = null;
        mNodes.get(index).mFrozen = false;
    }

    void freeze(int index) {
        mNodes.get(index).mFrozen = true;
    }

    void wake(int index) {
        Node node = mNodes.get(index);
        node.mFrozen = false;
        node.mAwakeSinceMillis = mNowMillis;
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

    void cut(int from, int to) {
        mCuts.add(new Link(from, to));
    }

    void healAll() {
        mCuts.clear();
    }

    boolean isTouchedByCut(int index) {
        return mCuts.stream().anyMatch(cut -> cut.from() == index || cut.to() == index);
    }

    /** Moves the time on by one tick. */
    void step() {
        mNowMillis += TICK_MILLIS;
        while (!mDeliveries.isEmpty() && mDeliveries.peek().atMillis() <= mNowMillis) {
            Delivery delivery = mDeliveries.remove();
            deliver(delivery.to(), delivery.task());
        }
        refreshHints();
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

    private void refreshHints() {
        if (mNowMillis < mNextHintsMillis) {
            return;
        }
        mNextHintsMillis = mNowMillis + HINT_LAG_MILLIS;
        mNodes.stream().filter(Node::isRunning).forEach(n -> n.mMembership.setSeeds(mHints));
        mHints = new ArrayList<>();
        mNodes.stream().filter(n -> n.mMembership != null).forEach(n -> mHints.add(at(n)));
    }

    private static Endpoint at(Node node) {
        return endpoint(node.mIndex);
    }

    private void deliver(Node to, Runnable task) {
        if (to.isRunning()) {
            task.run();
        } else if (to.mFrozen && to.mBuffered.size() < MOST_BUFFERED) {
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
        GossipMessage message = mTamper.apply(to.identity(), send.message());
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() >= mLoss && passes(from, to)) {
                post(to, () -> perform(to, to.mMembership.onGossip(message, mNowMillis)));
            }
        }
    }

    private void exchange(Node from, ExchangeMembers exchange) {
        Node to = nodeAt(exchange.peer());
        Membership requester = from.mMembership;
        mJoins++;
        if (!passes(from, to) || !passes(to, from)) {
            return;
        }
        long expiry = mNowMillis + JOIN_TIMEOUT_MILLIS;
        post(
                to,
                () -> {
                    JoinResponse answer =
                            to.mMembership.onJoinRequest(exchange.request(), mNowMillis);
                    perform(to, answer.actions());
                    if (passes(to, from) && mNowMillis < expiry) {
                        post(from, () -> reply(from, requester, answer.members()));
                    }
                });
    }

    private void reply(Node node, Membership requester, List<MemberUpdate> members) {
        if (node.mMembership == requester) {
            perform(node, requester.onJoinReply(members, mNowMillis));
        }
    }

    private boolean passes(Node from, Node to) {
        return !mCuts.contains(new Link(from.mIndex, to.mIndex));
    }

    private void post(Node to, Runnable task) {
        long delay = 1 + mRandom.nextLong(mMostDelayMillis);
        mDeliveries.add(new Delivery(mNowMillis + delay, mOrder++, to, task));
    }
}
