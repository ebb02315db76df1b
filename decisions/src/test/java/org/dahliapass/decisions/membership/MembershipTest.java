package org.dahliapass.decisions.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dahliapass.decisions.membership.MembershipAction.MemberChanged;
import org.dahliapass.decisions.membership.MembershipAction.Replaced;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests for {@link Membership}. */
public final class MembershipTest {
    private static final VmIdentity SELF = new VmIdentity("vm-0", 5);
    private static final VmIdentity PEER = new VmIdentity("vm-1", 1);
    private static final VmIdentity THIRD = new VmIdentity("vm-2", 1);

    private final MembershipSettings mSettings = MembershipSettings.defaults();

    @Test
    public void pingIsAcknowledged() {
        Membership membership = start();
        List<MembershipAction> actions = membership.onGossip(ping(SELF.incarnation(), PEER), 0);
        assertTrue(membership.isMember(PEER));
        assertEquals(sent(actions).kind(), GossipKind.ACK);
        assertEquals(sent(actions).sequence(), 9);
    }

    @Test
    public void pingForFormerIncarnationIsIgnored() {
        Membership membership = start();
        assertTrue(membership.onGossip(ping(SELF.incarnation() - 1, PEER), 0).isEmpty());
        assertFalse(membership.isMember(PEER));
    }

    @Test
    public void newerIncarnationReplacesOlder() {
        Membership membership = start();
        VmIdentity successor = new VmIdentity(PEER.name(), PEER.incarnation() + 1);
        membership.onGossip(ping(SELF.incarnation(), PEER), 0);
        membership.onGossip(ping(SELF.incarnation(), successor), 1);
        assertTrue(membership.isMember(successor));
        assertFalse(membership.isMember(PEER));
        membership.onGossip(ping(SELF.incarnation(), PEER), 2);
        assertTrue(
                membership.isMember(successor),
                "A late update of the old incarnation replaced the new one.");
    }

    @Test
    public void resumedProcessIsNotifiedOfSuccessor() {
        // Otherwise two processes would serve under one name.
        Membership other = start();
        VmIdentity successor = new VmIdentity(PEER.name(), PEER.incarnation() + 1);
        other.onGossip(ping(SELF.incarnation(), successor), 0);
        GossipMessage notification = sent(other.onGossip(ping(SELF.incarnation(), PEER), 1));
        Membership resumed =
                new Membership(mSettings, update(PEER, MemberState.ALIVE), new Random(1), 0);
        assertTrue(resumed.onGossip(notification, 2).contains(new Replaced(successor)));
    }

    @Test
    public void suspicionOfSelfIsRefuted() {
        Membership membership = start();
        GossipMessage verdict = gossip(PEER, update(PEER, MemberState.ALIVE), suspected(SELF));
        membership.onGossip(verdict, 0);
        assertEquals(membership.self().refutation(), 1);
        assertEquals(membership.self().state(), MemberState.ALIVE);
    }

    @Test
    public void refutationPreservesLeaving() {
        Membership membership = start();
        membership.leave(0);
        MemberUpdate verdict =
                membership.self().withState(MemberState.DEAD, membership.self().refutation());
        membership.onGossip(gossip(PEER, update(PEER, MemberState.ALIVE), verdict), 1);
        assertEquals(membership.self().state(), MemberState.LEAVING);
        assertEquals(membership.self().refutation(), 2);
    }

    @Test
    public void leavingIsGossipedAtOnce() {
        Membership membership = start();
        membership.onGossip(ping(SELF.incarnation(), PEER), 0);
        GossipMessage rumor = sent(membership.leave(1));
        assertEquals(rumor.updates().get(0).state(), MemberState.LEAVING);
    }

    @Test
    public void outdatedUpdateDoesNotResurrect() {
        Membership membership = start();
        membership.onGossip(gossip(PEER, update(PEER, MemberState.ALIVE), dead(THIRD)), 0);
        membership.onGossip(
                gossip(PEER, update(PEER, MemberState.ALIVE), update(THIRD, MemberState.ALIVE)), 1);
        assertFalse(membership.isMember(THIRD));
    }

    @Test
    public void reportedDeathOfRecentlyHeardMemberBecomesSuspicion() {
        Membership membership = start();
        membership.onGossip(ping(SELF.incarnation(), THIRD), 0);
        List<MembershipAction> actions =
                membership.onGossip(
                        gossip(PEER, update(PEER, MemberState.ALIVE), dead(THIRD)), 100);
        assertTrue(membership.isMember(THIRD));
        assertTrue(
                actions.contains(
                        new MemberChanged(
                                Optional.of(update(THIRD, MemberState.ALIVE)), suspected(THIRD))));
    }

    @Test
    public void deathInListIsNotApplied() {
        Membership membership = start();
        membership.onGossip(ping(SELF.incarnation(), PEER), 0);
        membership.onJoinReply(List.of(dead(PEER)), 60_000);
        assertTrue(membership.isMember(PEER));
    }

    @Test
    public void equalListIsNotSent() {
        Membership membership = start();
        Membership other =
                new Membership(mSettings, update(PEER, MemberState.ALIVE), new Random(2), 0);
        other.onJoinReply(List.of(membership.self()), 0);
        JoinRequest emptyRequest = new JoinRequest(other.self(), 0);
        assertEquals(membership.onJoinRequest(emptyRequest, 0).members().size(), 2);
        long digest = digestOf(other);
        assertTrue(
                membership
                        .onJoinRequest(new JoinRequest(other.self(), digest), 0)
                        .members()
                        .isEmpty());
    }

    @Test
    public void heardFractionCountsRecentlyHeardMembers() {
        Membership membership = start();
        membership.onGossip(ping(SELF.incarnation(), PEER), 0);
        for (long now = 0; now < 5_000; now += SimulatedFleet.TICK_MILLIS) {
            membership.onTick(now);
        }
        membership.onGossip(ping(SELF.incarnation(), THIRD), 5_000);
        assertEquals(membership.heardFraction(List.of(PEER, THIRD), 5_000, 1_000), 0.5);
        assertEquals(membership.heardFraction(List.of(PEER, THIRD), 9_000, 1_000), 0.0);
    }

    private Membership start() {
        return new Membership(mSettings, update(SELF, MemberState.ALIVE), new Random(1), 0);
    }

    private static long digestOf(Membership membership) {
        for (MembershipAction action : membership.onTick(1_000)) {
            if (action instanceof MembershipAction.ExchangeMembers exchange) {
                return exchange.request().digest();
            }
        }
        throw new AssertionError("The first tick requests no list exchange.");
    }

    private static GossipMessage sent(List<MembershipAction> actions) {
        return actions.stream()
                .filter(SendGossip.class::isInstance)
                .map(action -> ((SendGossip) action).message())
                .findFirst()
                .orElseThrow(
                        () -> new AssertionError("Expected a SendGossip action, got " + actions));
    }

    private static GossipMessage ping(long recipientIncarnation, VmIdentity from) {
        return new GossipMessage(
                from,
                recipientIncarnation,
                GossipKind.PING,
                9,
                Optional.empty(),
                0,
                List.of(update(from, MemberState.ALIVE)));
    }

    private static GossipMessage gossip(VmIdentity from, MemberUpdate... updates) {
        return new GossipMessage(
                from,
                SELF.incarnation(),
                GossipKind.RUMOR,
                0,
                Optional.empty(),
                0,
                List.of(updates));
    }

    private static MemberUpdate update(VmIdentity identity, MemberState state) {
        int index = Integer.parseInt(identity.name().substring("vm-".length()));
        return SimulatedFleet.update(identity, index, state);
    }

    private static MemberUpdate suspected(VmIdentity identity) {
        return update(identity, MemberState.SUSPECT);
    }

    private static MemberUpdate dead(VmIdentity identity) {
        return update(identity, MemberState.DEAD);
    }
}
