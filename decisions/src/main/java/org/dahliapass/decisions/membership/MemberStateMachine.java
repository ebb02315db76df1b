package org.dahliapass.decisions.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.decisions.membership.MembershipAction.MemberChanged;
import org.dahliapass.decisions.membership.MembershipAction.Replaced;

/** Judges what is held of each VM: takes news, suspects, declares dead and forgets. */
final class MemberStateMachine {
    private static final int HEARD_PERIODS = 2;

    private final MembershipSettings mSettings;
    private final MemberTable mTable;
    private final RumorQueue mRumors;
    private final GossipComposer mComposer;
    private final Prober mProber;
    private final AntiEntropyScheduler mContacts;
    private long mHeardAnyMillis;
    private boolean mUrgentNews;

    MemberStateMachine(
            MembershipSettings settings,
            MemberTable table,
            RumorQueue rumors,
            GossipComposer composer,
            Prober prober,
            AntiEntropyScheduler contacts,
            long nowMillis) {
        mSettings = settings;
        mTable = table;
        mRumors = rumors;
        mComposer = composer;
        mProber = prober;
        mContacts = contacts;
        mHeardAnyMillis = nowMillis;
    }

    /** Notes that some VM was heard. */
    void recordHeard(long nowMillis) {
        mHeardAnyMillis = nowMillis;
    }

    /** Returns whether there is news that others should get at once. */
    boolean hasUrgentUpdates() {
        return mUrgentNews;
    }

    /** Notes that the urgent news is on its way. */
    void clearUrgentUpdates() {
        mUrgentNews = false;
    }

    /** Takes one piece of news. */
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
        MemberUpdate softened = softened(member, update, nowMillis);
        boolean withdrawsLocalVerdict =
                member.isLocalVerdict()
                        && update.state().isSelfReported()
                        && update.hasSameVersion(member.update());
        if (softened.supersedes(member.update()) || withdrawsLocalVerdict) {
            change(member, softened, false, nowMillis, actions);
        } else if (update.equals(member.update())) {
            member.confirmVerdict();
        }
    }

    /** Drops the members that another VM's list lacks and that weren't heard since. */
    void markUnlistedDead(
            Set<String> listed, long sinceMillis, long nowMillis, List<MembershipAction> actions) {
        for (Member member : mTable.all()) {
            boolean vouchedFor =
                    listed.contains(member.name()) || member.lastHeardMillis() >= sinceMillis;
            if (!member.isDead() && !vouchedFor) {
                MemberUpdate dead = member.update().withState(MemberState.DEAD);
                change(member, dead, true, nowMillis, actions);
            }
        }
    }

    /**
     * Takes that another VM's list lacks all but the named members.
     *
     * <p>Guards against a verdict that this VM reached while it heard nobody, and that it would
     * drop for outdated news long after it hears the others again; it would show as a dead VM that
     * comes back here alone. A list that lacks the VM confirms the verdict.
     */
    void confirmVerdicts(Set<String> listed) {
        for (Member member : mTable.all()) {
            if (member.isDead() && !listed.contains(member.name())) {
                member.confirmVerdict();
            }
        }
    }

    /**
     * Takes a VM from a list that isn't known here; one that is only known there as dead needs no
     * tombstone here. It is no news to the others, so it isn't passed on: a whole list would fill
     * the datagrams for minutes, and hold up what is urgent.
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
     * Takes that a member answered neither directly nor through others. One that was leaving has
     * most likely stopped; a suspicion would put it back into its cells.
     */
    void onProbeFailed(Member member, long nowMillis, List<MembershipAction> actions) {
        if (!member.state().isSelfReported()) {
            return;
        }
        boolean leaving = member.state() == MemberState.LEAVING;
        judge(member, leaving ? MemberState.DEAD : MemberState.SUSPECT, nowMillis, actions);
        actions.add(mComposer.composeRumor(member.update(), member.update()));
    }

    /** Ends suspicions that weren't refuted in time, and forgets the long dead. */
    void expire(long nowMillis, List<MembershipAction> actions) {
        long suspicionMillis = mSettings.suspicionMillis(mTable.liveCount());
        long tombstoneMillis = mSettings.tombstoneRetention().toMillis();
        boolean forget = false;
        for (Member member : mTable.all()) {
            long heldMillis = nowMillis - member.stateSinceMillis();
            if (member.state() == MemberState.SUSPECT && heldMillis >= suspicionMillis) {
                endSuspicion(member, nowMillis, actions);
            } else if (member.isDead() && heldMillis >= tombstoneMillis) {
                mContacts.addFormerMember(member.update().vm().peerEndpoint());
                forget = true;
            }
        }
        if (forget) {
            mTable.forgetDead(member -> nowMillis - member.stateSinceMillis() >= tombstoneMillis);
        }
    }

    private boolean isDeaf(long nowMillis) {
        long window = mSettings.suspicionMillis(mTable.liveCount());
        return nowMillis - mHeardAnyMillis > window;
    }

    /** Returns whether a member, null if unknown, was heard within the window. */
    static boolean heardWithin(Member member, long nowMillis, long windowMillis) {
        return member != null && nowMillis - member.lastHeardMillis() <= windowMillis;
    }

    /**
     * Guards against another VM's false verdict on a VM that this one hears well: its death would
     * show as lost capacity. A suspicion gives the VM the time to refute.
     */
    private MemberUpdate softened(Member member, MemberUpdate update, long nowMillis) {
        long window = HEARD_PERIODS * mSettings.period().toMillis();
        boolean contradicted =
                update.state() == MemberState.DEAD
                        && !member.isDead()
                        && member.identity().equals(update.identity())
                        && heardWithin(member, nowMillis, window);
        if (!contradicted) {
            return update;
        }
        return member.state() == MemberState.LEAVING
                ? member.update()
                : update.withState(MemberState.SUSPECT);
    }

    /** Takes what others say of this VM: a verdict is refuted by a higher refutation counter. */
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
            mUrgentNews = true;
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
        mUrgentNews = true;
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
        boolean newLife = !before.identity().equals(update.identity());
        if (!newLife && before.state() == update.state()) {
            return;
        }
        boolean returns = before.state() == MemberState.DEAD && !member.isDead();
        if (returns) {
            mProber.add(member);
        }
        mUrgentNews |= newLife || returns || update.state() != MemberState.SUSPECT;
        actions.add(new MemberChanged(Optional.of(before), update));
    }

    /**
     * Guards against a VM that hears nobody, because its own link is cut, and would have the whole
     * fleet declared dead; it would show as a storm of refutations. Such a VM keeps its verdicts to
     * itself, and drops them for the word of anyone it hears.
     */
    private void judge(
            Member member, MemberState verdict, long nowMillis, List<MembershipAction> actions) {
        MemberUpdate update = member.update().withState(verdict);
        change(member, update, isDeaf(nowMillis), nowMillis, actions);
    }

    /** Ends a suspicion that wasn't refuted; one that nobody was told of begins anew, told. */
    private void endSuspicion(Member member, long nowMillis, List<MembershipAction> actions) {
        if (!member.isLocalVerdict() || isDeaf(nowMillis)) {
            judge(member, MemberState.DEAD, nowMillis, actions);
            return;
        }
        member.restartStateTimer(nowMillis);
        change(member, member.update(), false, nowMillis, actions);
        actions.add(mComposer.composeRumor(member.update(), member.update()));
    }
}
