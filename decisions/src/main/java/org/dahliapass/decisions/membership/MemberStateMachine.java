package org.dahliapass.decisions.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.decisions.membership.MembershipAction.MemberChanged;
import org.dahliapass.decisions.membership.MembershipAction.Replaced;

/** Moves the members between their states: applies updates, suspects, declares dead and expires. */
final class MemberStateMachine {
    private static final int RECENTLY_HEARD_PERIODS = 2;

    private final MembershipSettings mSettings;
    private final MemberTable mTable;
    private final RumorQueue mRumors;
    private final GossipComposer mComposer;
    private final Prober mProber;
    private final AntiEntropyScheduler mAntiEntropy;
    private long mLastHeardMillis;
    private boolean mUrgentUpdates;

    MemberStateMachine(
            MembershipSettings settings,
            MemberTable table,
            RumorQueue rumors,
            GossipComposer composer,
            Prober prober,
            AntiEntropyScheduler antiEntropy,
            long nowMillis) {
        mSettings = settings;
        mTable = table;
        mRumors = rumors;
        mComposer = composer;
        mProber = prober;
        mAntiEntropy = antiEntropy;
        mLastHeardMillis = nowMillis;
    }

    /** Records that some member was heard. */
    void recordHeard(long nowMillis) {
        mLastHeardMillis = nowMillis;
    }

    /** Returns whether there are updates to spread without delay. */
    boolean hasUrgentUpdates() {
        return mUrgentUpdates;
    }

    /** Records that the urgent updates were sent. */
    void clearUrgentUpdates() {
        mUrgentUpdates = false;
    }

    /** Applies an update that another VM sent. */
    void apply(MemberUpdate update, long nowMillis, List<MembershipAction> actions) {
        if (update.identity().name().equals(mComposer.self().identity().name())) {
            applyToSelf(update, actions);
            return;
        }
        Member member = mTable.find(update.identity().name());
        if (member == null) {
            addMember(update, nowMillis, actions);
            return;
        }
        MemberUpdate downgraded = downgraded(member, update, nowMillis);
        boolean withdrawsLocalVerdict =
                member.isLocalVerdict()
                        && update.state().isSelfReported()
                        && update.hasSameVersion(member.update());
        if (downgraded.supersedes(member.update()) || withdrawsLocalVerdict) {
            change(member, downgraded, false, nowMillis, actions);
        } else if (update.equals(member.update())) {
            member.confirmVerdict();
        }
    }

    /**
     * Declares dead the members that another VM's list lacks and that weren't heard since a time.
     */
    void markUnlistedDead(
            Set<String> listed, long sinceMillis, long nowMillis, List<MembershipAction> actions) {
        for (Member member : mTable.all()) {
            boolean listedOrHeard =
                    listed.contains(member.name()) || member.lastHeardMillis() >= sinceMillis;
            if (!member.isDead() && !listedOrHeard) {
                MemberUpdate dead = member.update().withState(MemberState.DEAD);
                change(member, dead, true, nowMillis, actions);
            }
        }
    }

    /**
     * Confirms the death of each dead member that another VM's list lacks.
     *
     * <p>Otherwise an outdated update could resurrect a member that this VM declared dead while it
     * was isolated.
     *
     * @param listed names of the members in the other list
     */
    void confirmVerdicts(Set<String> listed) {
        for (Member member : mTable.all()) {
            if (member.isDead() && !listed.contains(member.name())) {
                member.confirmVerdict();
            }
        }
    }

    /**
     * Adds an unknown member of another VM's list unless it is dead. It isn't gossiped, because a
     * whole list would fill the datagrams for minutes and delay urgent updates.
     */
    void addListed(MemberUpdate update, long nowMillis, List<MembershipAction> actions) {
        if (update.state() != MemberState.DEAD) {
            Member member = new Member(update, nowMillis);
            mTable.add(member);
            mProber.add(member);
            actions.add(new MemberChanged(Optional.empty(), update));
        }
    }

    /**
     * Suspects a member that failed its direct and indirect probes. Declares a leaving member dead,
     * because it has probably stopped, and a suspicion would put it back into its cells.
     */
    void onProbeFailed(Member member, long nowMillis, List<MembershipAction> actions) {
        if (!member.state().isSelfReported()) {
            return;
        }
        boolean leaving = member.state() == MemberState.LEAVING;
        applyVerdict(member, leaving ? MemberState.DEAD : MemberState.SUSPECT, nowMillis, actions);
        actions.add(mComposer.composeRumor(member.update(), member.update()));
    }

    /** Declares dead the members with expired suspicions and removes expired tombstones. */
    void expire(long nowMillis, List<MembershipAction> actions) {
        long suspicionMillis = mSettings.suspicionMillis(mTable.liveCount());
        long tombstoneMillis = mSettings.tombstoneRetention().toMillis();
        boolean hasExpired = false;
        for (Member member : mTable.all()) {
            long stateMillis = nowMillis - member.stateSinceMillis();
            if (member.state() == MemberState.SUSPECT && stateMillis >= suspicionMillis) {
                endSuspicion(member, nowMillis, actions);
            } else if (member.isDead() && stateMillis >= tombstoneMillis) {
                mAntiEntropy.addFormerMember(member.update().vm().peerEndpoint());
                hasExpired = true;
            }
        }
        if (hasExpired) {
            mTable.removeDead(member -> nowMillis - member.stateSinceMillis() >= tombstoneMillis);
        }
    }

    private boolean isIsolated(long nowMillis) {
        long windowMillis = mSettings.suspicionMillis(mTable.liveCount());
        return nowMillis - mLastHeardMillis > windowMillis;
    }

    /** Returns whether a member was heard within the window; false for null. */
    static boolean heardWithin(Member member, long nowMillis, long windowMillis) {
        return member != null && nowMillis - member.lastHeardMillis() <= windowMillis;
    }

    /**
     * Returns the update, or a weaker one if it declares dead a member that this VM heard recently:
     * a suspicion leaves the member time to refute.
     */
    private MemberUpdate downgraded(Member member, MemberUpdate update, long nowMillis) {
        long windowMillis = RECENTLY_HEARD_PERIODS * mSettings.period().toMillis();
        boolean recentlyHeard =
                update.state() == MemberState.DEAD
                        && !member.isDead()
                        && member.identity().equals(update.identity())
                        && heardWithin(member, nowMillis, windowMillis);
        if (!recentlyHeard) {
            return update;
        }
        return member.state() == MemberState.LEAVING
                ? member.update()
                : update.withState(MemberState.SUSPECT);
    }

    /** Refutes a verdict on this VM by a higher refutation counter. */
    private void applyToSelf(MemberUpdate update, List<MembershipAction> actions) {
        MemberUpdate self = mComposer.self();
        int order = Long.compare(update.identity().incarnation(), self.identity().incarnation());
        if (order > 0) {
            actions.add(new Replaced(update.identity()));
            return;
        }
        if (order == 0
                && !update.state().isSelfReported()
                && update.refutation() >= self.refutation()) {
            mComposer.setSelf(self.withState(self.state(), update.refutation() + 1));
            mUrgentUpdates = true;
        }
    }

    private void addMember(MemberUpdate update, long nowMillis, List<MembershipAction> actions) {
        Member member = new Member(update, nowMillis);
        mTable.add(member);
        mRumors.add(member);
        if (member.isDead()) {
            return;
        }
        mProber.add(member);
        mUrgentUpdates = true;
        actions.add(new MemberChanged(Optional.empty(), update));
    }

    private void change(
            Member member,
            MemberUpdate update,
            boolean localVerdict,
            long nowMillis,
            List<MembershipAction> actions) {
        MemberUpdate before = member.update();
        mTable.apply(member, update, localVerdict, nowMillis);
        if (!localVerdict) {
            mRumors.add(member);
        }
        boolean newIncarnation = !before.identity().equals(update.identity());
        if (!newIncarnation && before.state() == update.state()) {
            return;
        }
        boolean returns = before.state() == MemberState.DEAD && !member.isDead();
        if (returns) {
            mProber.add(member);
        }
        mUrgentUpdates |= newIncarnation || returns || update.state() != MemberState.SUSPECT;
        actions.add(new MemberChanged(Optional.of(before), update));
    }

    /**
     * Applies a verdict of this VM. While this VM is isolated, the verdict stays local, so that a
     * VM with a broken network doesn't get the whole fleet declared dead.
     */
    private void applyVerdict(
            Member member, MemberState verdict, long nowMillis, List<MembershipAction> actions) {
        MemberUpdate update = member.update().withState(verdict);
        change(member, update, isIsolated(nowMillis), nowMillis, actions);
    }

    /** Ends an expired suspicion; restarts and gossips one that was only local. */
    private void endSuspicion(Member member, long nowMillis, List<MembershipAction> actions) {
        if (!member.isLocalVerdict() || isIsolated(nowMillis)) {
            applyVerdict(member, MemberState.DEAD, nowMillis, actions);
            return;
        }
        member.restartStateTimer(nowMillis);
        change(member, member.update(), false, nowMillis, actions);
        actions.add(mComposer.composeRumor(member.update(), member.update()));
    }
}
