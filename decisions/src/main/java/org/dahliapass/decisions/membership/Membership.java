package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/**
 * Keeps this VM's list of the live VMs by SWIM-style gossip.
 *
 * <p>Events and the time go in, actions come out. One thread owns an instance; {@link #members()}
 * gives immutable records for a snapshot. Drive {@link #onTick} several times a ping timeout.
 */
public final class Membership {
    private static final int PAUSE_PERIODS = 2;
    private static final int OUTDATED_PERIODS = 10;
    private static final int MOST_NOTICES = 16;

    private final MembershipSettings mSettings;
    private final MemberTable mTable;
    private final RumorQueue mRumors = new RumorQueue();
    private final GossipComposer mComposer;
    private final Prober mProber;
    private final AntiEntropyScheduler mContacts;
    private final MemberStateMachine mJudge;
    private long mLastTickMillis;
    private boolean mOutdated;
    private long mOutdatedSinceMillis;
    private long mNextRumorMillis = Long.MIN_VALUE;

    /**
     * Creates the list with nobody else in it.
     *
     * @param settings the tolerances
     * @param self this VM's news of itself, alive, with refutation 0
     * @param random draws targets, helpers and contacts
     * @param nowMillis the time of the start
     */
    public Membership(
            MembershipSettings settings,
            MemberUpdate self,
            RandomGenerator random,
            long nowMillis) {
        mSettings = settings;
        mTable = new MemberTable(random);
        mComposer = new GossipComposer(settings, mTable, mRumors, self);
        mProber = new Prober(settings, random, mTable, mComposer);
        mContacts = new AntiEntropyScheduler(settings, random, mTable);
        mLastTickMillis = nowMillis;
        mJudge =
                new MemberStateMachine(
                        settings, mTable, mRumors, mComposer, mProber, mContacts, nowMillis);
    }

    /** Returns this VM's news of itself. */
    public MemberUpdate self() {
        return mComposer.self();
    }

    /** Returns this VM and all others that aren't held dead; a new list each time. */
    public List<MemberUpdate> members() {
        List<MemberUpdate> members = new ArrayList<>(mTable.liveCount() + 1);
        members.add(self());
        for (Member member : mTable.all()) {
            if (!member.isDead()) {
                members.add(member.update());
            }
        }
        return members;
    }

    /** Returns whether this very incarnation is held, and not dead; for refusing strangers. */
    public boolean isMember(VmIdentity identity) {
        Member member = mTable.find(identity.name());
        return member != null && !member.isDead() && member.identity().equals(identity);
    }

    /** Sets the addresses for peers in the platform's VM list; they are contacted, not believed. */
    public void setSeeds(Collection<Endpoint> hints) {
        mContacts.setSeeds(hints);
    }

    /** Sets the newest configuration change that this VM has; each datagram carries it. */
    public void setHeadNumber(long headNumber) {
        mComposer.setHeadNumber(headNumber);
    }

    /** Goes on with pings, suspicions, exchanges and urgent news. */
    public List<MembershipAction> onTick(long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        guardAgainstPause(nowMillis);
        endWaitForList(nowMillis);
        mProber.onTick(nowMillis, actions)
                .ifPresent(member -> mJudge.onProbeFailed(member, nowMillis, actions));
        mJudge.expire(nowMillis, actions);
        mContacts.onTick(self(), mOutdated, nowMillis, actions);
        spreadIfDue(nowMillis, actions);
        return actions;
    }

    /**
     * Takes a datagram.
     *
     * <p>One that was meant for another incarnation, or comes from a VM that is unknown and sends
     * no news of itself, is ignored.
     */
    public List<MembershipAction> onGossip(GossipMessage message, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        guardAgainstPause(nowMillis);
        if (isDraining(nowMillis) || !isForThisIncarnation(message.recipientIncarnation())) {
            return actions;
        }
        for (MemberUpdate update : message.updates()) {
            mJudge.apply(update, nowMillis, actions);
        }
        Member sender = mTable.find(message.sender().name());
        if (sender == null) {
            return actions;
        }
        if (!sender.identity().equals(message.sender())) {
            answerFormerIncarnation(sender, message, actions);
            return actions;
        }
        sender.recordHeard(nowMillis);
        mJudge.recordHeard(nowMillis);
        answer(sender, message, nowMillis, actions);
        return actions;
    }

    /** Notes that a VM was heard by another way, such as a reply over TCP. */
    public void onHeard(VmIdentity identity, long nowMillis) {
        Member member = mTable.find(identity.name());
        if (member != null && member.identity().equals(identity)) {
            member.recordHeard(nowMillis);
            mJudge.recordHeard(nowMillis);
        }
    }

    /** Takes another VM's request for the list. */
    public JoinResponse onJoinRequest(JoinRequest request, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        guardAgainstPause(nowMillis);
        if (mOutdated) {
            return new JoinResponse(List.of(self()), actions);
        }
        mJudge.apply(request.self(), nowMillis, actions);
        onHeard(request.self().identity(), nowMillis);
        boolean equal = mTable.digest(self()) == request.digest();
        return new JoinResponse(equal ? List.of() : listFor(request.self()), actions);
    }

    /**
     * Takes another VM's list.
     *
     * <p>Guards against lists from across a partition: there, each side holds the other dead. Taken
     * at its word, such a list would wipe out the healthy side; it would show as a fleet that loses
     * all members as the partition heals. So verdicts in a list only lead to an early ping of the
     * VM, and a VM that this one holds dead but the other one alive is told, so it can refute.
     */
    public List<MembershipAction> onJoinReply(List<MemberUpdate> members, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        if (!members.isEmpty()) {
            mJudge.recordHeard(nowMillis);
        }
        Set<String> names = names(members);
        if (mOutdated && members.size() > 1) {
            mJudge.markUnlistedDead(names, mOutdatedSinceMillis, nowMillis, actions);
        }
        mOutdated &= members.size() == 1;
        mJudge.confirmVerdicts(names);
        int notices = 0;
        int start = members.isEmpty() ? 0 : mTable.randomInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            MemberUpdate update = members.get((start + i) % members.size());
            Member known = mTable.find(update.identity().name());
            if (update.identity().name().equals(self().identity().name())) {
                mJudge.apply(update, nowMillis, actions);
            } else if (known == null) {
                mJudge.addListed(update, nowMillis, actions);
            } else if (update.state().isSelfReported()) {
                mJudge.apply(update, nowMillis, actions);
                if (known.isDead() && notices++ < MOST_NOTICES) {
                    actions.add(mComposer.composeRumor(known.update(), known.update()));
                }
            } else if (update.supersedes(known.update())) {
                mProber.probeSoon(known);
            }
        }
        return actions;
    }

    /** Begins to leave: tells a few others at once, who pass it on. */
    public List<MembershipAction> leave(long nowMillis) {
        MemberUpdate self = self();
        mComposer.setSelf(self.withState(MemberState.LEAVING, self.refutation() + 1));
        List<MembershipAction> actions = new ArrayList<>();
        spread(nowMillis, actions);
        return actions;
    }

    /**
     * Returns which share of the named VMs was heard within the window; 1 if none is named. VMs
     * that aren't known count as not heard.
     */
    public double heardFraction(Collection<VmIdentity> vms, long nowMillis, long windowMillis) {
        if (vms.isEmpty()) {
            return 1;
        }
        long heard =
                vms.stream()
                        .map(identity -> mTable.find(identity.name()))
                        .filter(
                                member ->
                                        MemberStateMachine.heardWithin(
                                                member, nowMillis, windowMillis))
                        .count();
        return (double) heard / vms.size();
    }

    private static Set<String> names(List<MemberUpdate> members) {
        return members.stream()
                .map(member -> member.identity().name())
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isForThisIncarnation(long incarnation) {
        return incarnation == GossipMessage.ANY_INCARNATION
                || incarnation == self().identity().incarnation();
    }

    private void answer(
            Member sender, GossipMessage message, long nowMillis, List<MembershipAction> actions) {
        switch (message.kind()) {
            case PING -> actions.add(mComposer.compose(sender, GossipKind.ACK, message.sequence()));
            case ACK, INDIRECT_ACK -> mProber.onAck(sender, message.sequence(), actions);
            case PING_REQUEST -> mProber.onPingRequest(sender, message, nowMillis, actions);
            case RUMOR -> {
                // Not answered: two VMs that hold each other dead would answer without end.
            }
        }
    }

    /**
     * Guards against a process that was paused, replaced meanwhile, and wakes: it would go on
     * serving under a name that is another's now. It is told, and {@link MembershipAction.Replaced}
     * follows there.
     */
    private void answerFormerIncarnation(
            Member successor, GossipMessage message, List<MembershipAction> actions) {
        message.updates().stream()
                .filter(update -> update.identity().equals(message.sender()))
                .findFirst()
                .map(former -> mComposer.composeRumor(former, successor.update()))
                .ifPresent(actions::add);
    }

    /**
     * Guards against a process that was paused and wakes: every ping and suspicion seems overdue,
     * which would show as a burst of false verdicts. The round begins anew and suspicions are
     * prolonged by the pause. After a longer pause its list and the datagrams that waited are
     * outdated: they would bring back VMs that died meanwhile. So it hands out no list and takes no
     * datagram until the queue is drained, and gets the list from another VM first.
     */
    private void guardAgainstPause(long nowMillis) {
        long gap = nowMillis - mLastTickMillis;
        mLastTickMillis = nowMillis;
        if (gap < PAUSE_PERIODS * mSettings.period().toMillis()) {
            return;
        }
        mProber.abandonRound();
        mTable.all().forEach(member -> member.shiftStateSince(gap));
        if (gap >= mSettings.suspicionMillis(mTable.liveCount())) {
            mRumors.clear();
            mOutdated = true;
            mOutdatedSinceMillis = nowMillis;
        }
    }

    /**
     * Ends the wait for another VM's list after a while: if the whole fleet was paused, all lists
     * are outdated, and nobody would ever hand one out.
     */
    private void endWaitForList(long nowMillis) {
        long longest = OUTDATED_PERIODS * mSettings.period().toMillis();
        mOutdated &= nowMillis - mOutdatedSinceMillis < longest;
    }

    private boolean isDraining(long nowMillis) {
        return mOutdated && nowMillis - mOutdatedSinceMillis < mSettings.period().toMillis();
    }

    private void spreadIfDue(long nowMillis, List<MembershipAction> actions) {
        if (mJudge.hasUrgentUpdates() && nowMillis >= mNextRumorMillis) {
            spread(nowMillis, actions);
        }
    }

    private void spread(long nowMillis, List<MembershipAction> actions) {
        mJudge.clearUrgentUpdates();
        mNextRumorMillis = nowMillis + mSettings.rumorInterval().toMillis();
        List<Member> picked =
                mTable.sample(mSettings.rumorFanout(), member -> member.state().isSelfReported());
        for (Member member : picked) {
            actions.add(mComposer.compose(member, GossipKind.RUMOR, 0));
        }
    }

    /** Returns the live members, and a dead one only if it is the requester, so it can refute. */
    private List<MemberUpdate> listFor(MemberUpdate requester) {
        List<MemberUpdate> list = members();
        Member known = mTable.find(requester.identity().name());
        if (known != null && known.isDead()) {
            list.add(known.update());
        }
        return list;
    }
}
