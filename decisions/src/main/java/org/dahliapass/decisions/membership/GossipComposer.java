package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.model.VmIdentity;

/** Composes datagrams: the sender's own update first, then as many queued rumors as fit. */
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

    /** Returns a datagram to a member. */
    SendGossip compose(Member to, GossipKind kind, long sequence) {
        return compose(to, kind, sequence, Optional.empty());
    }

    /**
     * Returns a datagram to a member about a third one.
     *
     * <p>A datagram to a suspected or dead member always carries that verdict, so that a live VM
     * can refute it after the rumor is no longer repeated.
     *
     * @param subject the third member
     */
    SendGossip compose(Member to, GossipKind kind, long sequence, Optional<VmIdentity> subject) {
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(mSelf);
        int remainingBytes = mSettings.datagramBytes() - mSelf.sizeBytes();
        if (!to.state().isSelfReported()) {
            updates.add(to.update());
            remainingBytes -= to.update().sizeBytes();
        }
        updates.addAll(mRumors.next(remainingBytes, mSettings.transmissions(mTable.liveCount())));
        return address(to.update(), kind, sequence, subject, updates);
    }

    /** Returns a datagram that carries one update besides the sender's own. */
    SendGossip composeRumor(MemberUpdate to, MemberUpdate update) {
        return address(to, GossipKind.RUMOR, 0, Optional.empty(), List.of(mSelf, update));
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
