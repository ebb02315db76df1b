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
 * Pings one member a period, in a random order that visits each member once before any twice, and
 * asks others to ping it if it doesn't answer.
 */
final class Prober {
    private static final int MOST_URGENT = 64;
    private static final int MOST_RELAYED = 256;

    /** A ping sent for another VM: to whom its answer goes, and since when it waits. */
    private record Relay(
            VmIdentity requester, long sequence, VmIdentity subject, long sinceMillis) {}

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final GossipComposer mComposer;
    private final List<Member> mOrder = new ArrayList<>();
    private final Deque<Member> mUrgent = new ArrayDeque<>();
    private final Map<Long, Relay> mRelays = new HashMap<>();
    private long mSequence;
    private Member mTarget;
    private VmIdentity mTargetIdentity;
    private long mTargetSequence;
    private long mRoundStartMillis = Long.MIN_VALUE / 2;
    private boolean mAnswered;
    private boolean mIndirect;

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

    /** Goes on with the round; returns the member that hasn't answered if one just ended. */
    Optional<Member> onTick(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis - mRoundStartMillis < mSettings.period().toMillis()) {
            askOthersIfLate(nowMillis, actions);
            return Optional.empty();
        }
        Optional<Member> unanswered = unanswered();
        startRound(nowMillis, actions);
        return unanswered;
    }

    /** Ends the round without a verdict. */
    void abandonRound() {
        mTarget = null;
    }

    /** Lets a new member be pinged at a random place of the present order. */
    void add(Member member) {
        mOrder.add(mRandom.nextInt(mOrder.size() + 1), member);
    }

    /** Lets a member be pinged next, since somebody else holds it dead. */
    void probeSoon(Member member) {
        if (mUrgent.size() < MOST_URGENT && !mUrgent.contains(member)) {
            mUrgent.add(member);
        }
    }

    /** Takes an answer, direct or passed on. */
    void onAck(Member from, long sequence, List<MembershipAction> actions) {
        Relay relay = mRelays.remove(sequence);
        if (relay != null) {
            passOn(from, relay, actions);
            return;
        }
        if (sequence == mTargetSequence) {
            mAnswered = true;
        }
    }

    /** Pings a member on another VM's request. */
    void onPingRequest(
            Member requester,
            GossipMessage message,
            long nowMillis,
            List<MembershipAction> actions) {
        if (message.subject().isEmpty() || mRelays.size() >= MOST_RELAYED) {
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

    private void passOn(Member from, Relay relay, List<MembershipAction> actions) {
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

    private Optional<Member> unanswered() {
        if (mTarget == null || mAnswered || !mTarget.identity().equals(mTargetIdentity)) {
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
        mAnswered = false;
        mIndirect = false;
        actions.add(mComposer.compose(mTarget, GossipKind.PING, mTargetSequence));
    }

    /**
     * Guards against a one-way partition between this VM and the target, which would show as a
     * healthy VM that is declared dead: the others reach it and pass its answer on.
     */
    private void askOthersIfLate(long nowMillis, List<MembershipAction> actions) {
        boolean late = nowMillis - mRoundStartMillis >= mSettings.pingTimeout().toMillis();
        if (mTarget == null || mAnswered || mIndirect || !late) {
            return;
        }
        mIndirect = true;
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
            if (isListed(member)) {
                return member;
            }
        }
        if (mOrder.isEmpty()) {
            mTable.all().stream().filter(member -> !member.isDead()).forEach(mOrder::add);
            Shuffle.shuffle(mOrder, mRandom);
        }
        while (!mOrder.isEmpty()) {
            Member member = mOrder.remove(mOrder.size() - 1);
            if (isListed(member)) {
                return member;
            }
        }
        return null;
    }

    private boolean isListed(Member member) {
        return !member.isDead() && mTable.find(member.name()) == member;
    }
}
