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
 * This VM's list of the live members, maintained by SWIM-style gossip.
 *
 * <p>A deterministic state machine: each event takes the current time in milliseconds and returns
 * the actions to perform. Call {@link #onTick} several times per ping timeout. Not thread-safe;
 * confined to one thread.
 */
public final class Membership {
    private static final int PAUSE_PERIODS = 2;
    private static final int MAX_OUTDATED_PERIODS = 10;
    private static final int MAX_NOTICES = 16;

    private final MembershipSettings mSettings;
    private final MemberTable mTable;
    private final RumorQueue mRumors = new RumorQueue();
    private final GossipComposer mComposer;
    private final Prober mProber;
    private final AntiEntropyScheduler mAntiEntropy;
    private final MemberStateMachine mStateMachine;
    private long mLastTickMillis;
    private boolean mOutdated;
    private long mOutdatedSinceMillis;
    private long mNextRumorMillis = Long.MIN_VALUE;

    /**
     * Creates a list that contains only this VM.
     *
     * @param self this VM's own update: alive, with refutation counter 0
     * @param random source of randomness for the choice of members
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
        mAntiEntropy = new AntiEntropyScheduler(settings, random, mTable);
        mLastTickMillis = nowMillis;
        mStateMachine =
                new MemberStateMachine(
                        settings, mTable, mRumors, mComposer, mProber, mAntiEntropy, nowMillis);
    }

    /** Returns this VM's own update. */
    public MemberUpdate self() {
        return mComposer.self();
    }

    /** Returns a new list of this VM and all other members that aren't dead. */
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

    /** Returns whether this incarnation is a member and not dead. */
    public boolean isMember(VmIdentity identity) {
        Member member = mTable.find(identity.name());
        return member != null && !member.isDead() && member.identity().equals(identity);
    }

    /** Sets the peer endpoints of the platform's VM list, which serve only as contact points. */
    public void setSeeds(Collection<Endpoint> seeds) {
        mAntiEntropy.setSeeds(seeds);
    }

    /** Sets the number of the newest configuration change that this VM has, for all datagrams. */
    public void setHeadNumber(long headNumber) {
        mComposer.setHeadNumber(headNumber);
    }

    /** Performs the pings, suspicions, list exchanges and urgent updates that are due. */
    public List<MembershipAction> onTick(long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        handlePause(nowMillis);
        limitOutdatedTime(nowMillis);
        mProber.onTick(nowMillis, actions)
                .ifPresent(member -> mStateMachine.onProbeFailed(member, nowMillis, actions));
        mStateMachine.expire(nowMillis, actions);
        mAntiEntropy.onTick(self(), mOutdated, nowMillis, actions);
        spreadUrgentUpdates(nowMillis, actions);
        return actions;
    }

    /**
     * Processes a datagram.
     *
     * <p>Ignores datagrams to another incarnation, and those of an unknown sender without its own
     * update.
     */
    public List<MembershipAction> onGossip(GossipMessage message, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        handlePause(nowMillis);
        if (isDraining(nowMillis) || !isForThisIncarnation(message.recipientIncarnation())) {
            return actions;
        }
        for (MemberUpdate update : message.updates()) {
            mStateMachine.apply(update, nowMillis, actions);
        }
        Member sender = mTable.find(message.sender().name());
        if (sender == null) {
            return actions;
        }
        if (!sender.identity().equals(message.sender())) {
            notifyFormerIncarnation(sender, message, actions);
            return actions;
        }
        sender.recordHeard(nowMillis);
        mStateMachine.recordHeard(nowMillis);
        respond(sender, message, nowMillis, actions);
        return actions;
    }

    /** Records that a VM was heard by other means than gossip, such as a reply over TCP. */
    public void onHeard(VmIdentity identity, long nowMillis) {
        Member member = mTable.find(identity.name());
        if (member != null && member.identity().equals(identity)) {
            member.recordHeard(nowMillis);
            mStateMachine.recordHeard(nowMillis);
        }
    }

    /** Responds to another VM's request for the list. */
    public JoinResponse onJoinRequest(JoinRequest request, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        handlePause(nowMillis);
        if (mOutdated) {
            return new JoinResponse(List.of(self()), actions);
        }
        mStateMachine.apply(request.self(), nowMillis, actions);
        onHeard(request.self().identity(), nowMillis);
        boolean equal = mTable.digest(self()) == request.digest();
        return new JoinResponse(equal ? List.of() : membersFor(request.self()), actions);
    }

    /**
     * Merges another VM's list.
     *
     * <p>Verdicts in the list only cause an early probe, because after a partition each side lists
     * the other as dead. A member that is dead here and alive in the list is notified, so that it
     * can refute.
     */
    public List<MembershipAction> onJoinReply(List<MemberUpdate> members, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        if (!members.isEmpty()) {
            mStateMachine.recordHeard(nowMillis);
        }
        Set<String> names = names(members);
        if (mOutdated && members.size() > 1) {
            mStateMachine.markUnlistedDead(names, mOutdatedSinceMillis, nowMillis, actions);
        }
        mOutdated &= members.size() == 1;
        mStateMachine.confirmVerdicts(names);
        int notices = 0;
        int start = members.isEmpty() ? 0 : mTable.randomInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            MemberUpdate update = members.get((start + i) % members.size());
            Member known = mTable.find(update.identity().name());
            if (update.identity().name().equals(self().identity().name())) {
                mStateMachine.apply(update, nowMillis, actions);
            } else if (known == null) {
                mStateMachine.addListed(update, nowMillis, actions);
            } else if (update.state().isSelfReported()) {
                mStateMachine.apply(update, nowMillis, actions);
                if (known.isDead() && notices++ < MAX_NOTICES) {
                    actions.add(mComposer.composeRumor(known.update(), known.update()));
                }
            } else if (update.supersedes(known.update())) {
                mProber.probeSoon(known);
            }
        }
        return actions;
    }

    /** Starts to leave and gossips that to a few members at once. */
    public List<MembershipAction> leave(long nowMillis) {
        MemberUpdate self = self();
        mComposer.setSelf(self.withState(MemberState.LEAVING, self.refutation() + 1));
        List<MembershipAction> actions = new ArrayList<>();
        spread(nowMillis, actions);
        return actions;
    }

    /**
     * Returns the fraction of the VMs that were heard within the window; 1 if there are none.
     * Unknown VMs count as not heard.
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

    private void respond(
            Member sender, GossipMessage message, long nowMillis, List<MembershipAction> actions) {
        switch (message.kind()) {
            case PING -> actions.add(mComposer.compose(sender, GossipKind.ACK, message.sequence()));
            case ACK, INDIRECT_ACK -> mProber.onAck(sender, message.sequence(), actions);
            case PING_REQUEST -> mProber.onPingRequest(sender, message, nowMillis, actions);
            case RUMOR -> {
                // No response: two VMs that consider each other dead would respond forever.
            }
        }
    }

    /**
     * Notifies a process that resumes after a newer incarnation has replaced it, so that it stops
     * with {@link MembershipAction.Replaced}.
     */
    private void notifyFormerIncarnation(
            Member successor, GossipMessage message, List<MembershipAction> actions) {
        message.updates().stream()
                .filter(update -> update.identity().equals(message.sender()))
                .findFirst()
                .map(former -> mComposer.composeRumor(former, successor.update()))
                .ifPresent(actions::add);
    }

    /**
     * Detects that this process was paused, and prevents false verdicts: abandons the probe round
     * and extends suspicions by the pause. After a long pause the list and the queued datagrams are
     * outdated, so this VM neither sends its list nor processes datagrams until the queue is
     * drained, and fetches the list of another VM.
     */
    private void handlePause(long nowMillis) {
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
     * Limits the time that the list counts as outdated: if the whole fleet was paused, no VM would
     * ever send a list.
     */
    private void limitOutdatedTime(long nowMillis) {
        long maxOutdatedMillis = MAX_OUTDATED_PERIODS * mSettings.period().toMillis();
        mOutdated &= nowMillis - mOutdatedSinceMillis < maxOutdatedMillis;
    }

    private boolean isDraining(long nowMillis) {
        return mOutdated && nowMillis - mOutdatedSinceMillis < mSettings.period().toMillis();
    }

    private void spreadUrgentUpdates(long nowMillis, List<MembershipAction> actions) {
        if (mStateMachine.hasUrgentUpdates() && nowMillis >= mNextRumorMillis) {
            spread(nowMillis, actions);
        }
    }

    private void spread(long nowMillis, List<MembershipAction> actions) {
        mStateMachine.clearUrgentUpdates();
        mNextRumorMillis = nowMillis + mSettings.rumorInterval().toMillis();
        List<Member> sampled =
                mTable.sample(mSettings.rumorFanout(), member -> member.state().isSelfReported());
        for (Member member : sampled) {
            actions.add(mComposer.compose(member, GossipKind.RUMOR, 0));
        }
    }

    /** Returns the live members, and the requester even if it is dead, so that it can refute. */
    private List<MemberUpdate> membersFor(MemberUpdate requester) {
        List<MemberUpdate> list = members();
        Member known = mTable.find(requester.identity().name());
        if (known != null && known.isDead()) {
            list.add(known.update());
        }
        return list;
    }
}
