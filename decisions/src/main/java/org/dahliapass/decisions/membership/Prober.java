package org.dahliapass.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dahliapass.model.VmIdentity;

/**
 * Pings one member per period, in random round-robin order, and requests indirect probes from other
 * members if there is no acknowledgement.
 */
final class Prober {
    private static final int MAX_URGENT = 64;
    private static final int MAX_RELAYS = 256;

    /** A ping sent on behalf of another member. */
    private record Relay(
            VmIdentity requester, long sequence, VmIdentity subject, long sinceMillis) {}

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final GossipComposer mComposer;
    private final List<Member> mRoundRobin = new ArrayList<>();
    private final Deque<Member> mUrgent = new ArrayDeque<>();
    private final Map<Long, Relay> mRelays = new HashMap<>();
    private long mSequence;
    private Member mTarget;
    private VmIdentity mTargetIdentity;
    private long mTargetSequence;
    private long mRoundStartMillis = Long.MIN_VALUE / 2;
    private boolean mAcknowledged;
    private boolean mIndirectSent;

    Prober(
            MembershipSettings settings,
            RandomGenerator random,
            MemberTable table,
            GossipComposer composer) {
        mSettings = settings;
        mRandom = random;
        mTable = table;
        mComposer = composer;
    }

    /** Advances the round; returns the member that failed its probe if a round just ended. */
    Optional<Member> onTick(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis - mRoundStartMillis < mSettings.period().toMillis()) {
            probeIndirectlyIfLate(nowMillis, actions);
            return Optional.empty();
        }
        Optional<Member> failedTarget = failedTarget();
        startRound(nowMillis, actions);
        return failedTarget;
    }

    /** Ends the round without a result. */
    void abandonRound() {
        mTarget = null;
    }

    /** Adds a member at a random position of the current round-robin order. */
    void add(Member member) {
        mRoundRobin.add(mRandom.nextInt(mRoundRobin.size() + 1), member);
    }

    /** Queues a member for the next probe, because another VM reports it suspected or dead. */
    void probeSoon(Member member) {
        if (mUrgent.size() < MAX_URGENT && !mUrgent.contains(member)) {
            mUrgent.add(member);
        }
    }

    /** Processes an acknowledgement, direct or forwarded. */
    void onAck(Member from, long sequence, List<MembershipAction> actions) {
        Relay relay = mRelays.remove(sequence);
        if (relay != null) {
            forwardAck(from, relay, actions);
            return;
        }
        if (sequence == mTargetSequence) {
            mAcknowledged = true;
        }
    }

    /** Pings a member at another VM's request. */
    void onPingRequest(
            Member requester,
            GossipMessage message,
            long nowMillis,
            List<MembershipAction> actions) {
        if (message.subject().isEmpty() || mRelays.size() >= MAX_RELAYS) {
            return;
        }
        Member subject = mTable.find(message.subject().get().name());
        if (subject == null || !subject.identity().equals(message.subject().get())) {
            return;
        }
        long sequence = ++mSequence;
        mRelays.put(
                sequence,
                new Relay(requester.identity(), message.sequence(), subject.identity(), nowMillis));
        actions.add(mComposer.compose(subject, GossipKind.PING, sequence));
    }

    private void forwardAck(Member from, Relay relay, List<MembershipAction> actions) {
        Member requester = mTable.find(relay.requester().name());
        if (requester == null || !from.identity().equals(relay.subject())) {
            return;
        }
        actions.add(
                mComposer.compose(
                        requester,
                        GossipKind.INDIRECT_ACK,
                        relay.sequence(),
                        Optional.of(relay.subject())));
    }

    private Optional<Member> failedTarget() {
        if (mTarget == null || mAcknowledged || !mTarget.identity().equals(mTargetIdentity)) {
            return Optional.empty();
        }
        return Optional.of(mTarget);
    }

    private void startRound(long nowMillis, List<MembershipAction> actions) {
        long expiry = nowMillis - 2 * mSettings.period().toMillis();
        mRelays.values().removeIf(relay -> relay.sinceMillis() < expiry);
        mRoundStartMillis = nowMillis;
        mTarget = nextTarget();
        if (mTarget == null) {
            return;
        }
        mTargetIdentity = mTarget.identity();
        mTargetSequence = ++mSequence;
        mAcknowledged = false;
        mIndirectSent = false;
        actions.add(mComposer.compose(mTarget, GossipKind.PING, mTargetSequence));
    }

    /**
     * Requests indirect probes from other members, so that a broken link between this VM and the
     * target doesn't get a healthy VM declared dead.
     */
    private void probeIndirectlyIfLate(long nowMillis, List<MembershipAction> actions) {
        boolean late = nowMillis - mRoundStartMillis >= mSettings.pingTimeout().toMillis();
        if (mTarget == null || mAcknowledged || mIndirectSent || !late) {
            return;
        }
        mIndirectSent = true;
        List<Member> helpers =
                mTable.sample(
                        mSettings.indirectProbes(),
                        member -> member != mTarget && member.state().isSelfReported());
        for (Member helper : helpers) {
            actions.add(
                    mComposer.compose(
                            helper,
                            GossipKind.PING_REQUEST,
                            mTargetSequence,
                            Optional.of(mTargetIdentity)));
        }
    }

    private Member nextTarget() {
        while (!mUrgent.isEmpty()) {
            Member member = mUrgent.remove();
            if (isProbeable(member)) {
                return member;
            }
        }
        if (mRoundRobin.isEmpty()) {
            mTable.all().stream().filter(member -> !member.isDead()).forEach(mRoundRobin::add);
            Shuffle.shuffle(mRoundRobin, mRandom);
        }
        while (!mRoundRobin.isEmpty()) {
            Member member = mRoundRobin.remove(mRoundRobin.size() - 1);
            if (isProbeable(member)) {
                return member;
            }
        }
        return null;
    }

    private boolean isProbeable(Member member) {
        return !member.isDead() && mTable.find(member.name()) == member;
    }
}
