package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.model.VmIdentity;

/** Writes datagrams: the sender's own news first, then as much other news as fits. */
final class GossipComposer {
    private final MembershipSettings mSettings;
    private final MemberTable mTable;
    private final RumorQueue mRumors;
    private MemberUpdate mSelf;
    private long mHeadNumber;

    GossipComposer(
            MembershipSettings settings, MemberTable table, RumorQueue rumors, MemberUpdate self) {
        mSettings = settings;
        mTable = table;
        mRumors = rumors;
        mSelf = self;
    }

    MemberUpdate self() {
        return mSelf;
    }

    void setSelf(MemberUpdate self) {
        mSelf = self;
    }

    void setHeadNumber(long headNumber) {
        mHeadNumber = headNumber;
    }

    /** Writes a datagram to a member. */
    SendGossip compose(Member to, GossipKind kind, long sequence) {
        return compose(to, kind, sequence, Optional.empty());
    }

    /**
     * Writes a datagram to a member about a third one.
     *
     * <p>Guards against a VM that never learns that it is held dead, because the news of it is no
     * longer repeated; it would show as a live VM that gets no work. A datagram to a VM under a
     * verdict always carries this verdict, so it can refute it.
     */
    SendGossip compose(Member to, GossipKind kind, long sequence, Optional<VmIdentity> subject) {
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(mSelf);
        int room = mSettings.datagramBytes() - mSelf.sizeBytes();
        if (!to.state().isSelfReported()) {
            updates.add(to.update());
            room -= to.update().sizeBytes();
        }
        updates.addAll(mRumors.next(room, mSettings.transmissions(mTable.liveCount())));
        return address(to.update(), kind, sequence, subject, updates);
    }

    /** Writes a datagram that carries just the one piece of news besides the sender's own. */
    SendGossip composeRumor(MemberUpdate to, MemberUpdate news) {
        return address(to, GossipKind.RUMOR, 0, Optional.empty(), List.of(mSelf, news));
    }

    private SendGossip address(
            MemberUpdate to,
            GossipKind kind,
            long sequence,
            Optional<VmIdentity> subject,
            List<MemberUpdate> updates) {
        GossipMessage message =
                new GossipMessage(
                        mSelf.identity(),
                        to.identity().incarnation(),
                        kind,
                        sequence,
                        subject,
                        mHeadNumber,
                        List.copyOf(updates));
        return new SendGossip(to.vm().peerEndpoint(), message);
    }
}
