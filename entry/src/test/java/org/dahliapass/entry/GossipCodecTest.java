package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dahliapass.decisions.membership.GossipKind;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Membership;
import org.dahliapass.decisions.membership.MembershipAction;
import org.dahliapass.decisions.membership.MembershipAction.SendGossip;
import org.dahliapass.decisions.membership.MembershipSettings;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.PeerTransport;
import org.dahliapass.wire.message.Gossip;
import org.testng.annotations.Test;

/** Tests for {@link GossipCodec}, including the size of its datagrams. */
public final class GossipCodecTest {
    private static final VmIdentity SENDER = new VmIdentity("vm-1", 1_764_700_000_000L);

    @Test
    public void datagramRoundTrips() {
        for (GossipKind kind : GossipKind.values()) {
            List<MemberUpdate> updates = new ArrayList<>();
            for (MemberState state : MemberState.values()) {
                updates.add(update(SENDER, state));
            }
            GossipMessage message =
                    new GossipMessage(SENDER, 7, kind, 9, Optional.of(SENDER), 11, updates);
            assertEquals(GossipCodec.decode(GossipCodec.encode(message).build()), message);
        }
    }

    @Test
    public void joinRoundTrips() {
        JoinRequest request = new JoinRequest(update(SENDER, MemberState.ALIVE), -5);
        assertEquals(GossipCodec.decode(GossipCodec.encode(request)), Optional.of(request));
        List<MemberUpdate> list = List.of(request.self());
        assertEquals(GossipCodec.decode(GossipCodec.encode(list)), list);
    }

    @Test
    public void memberOfUnknownStatusIsSkipped() {
        Gossip gossip =
                Gossip.newBuilder()
                        .addMembers(
                                org.dahliapass.wire.message.MemberUpdate.newBuilder()
                                        .setStatusValue(99))
                        .build();
        assertTrue(GossipCodec.decode(gossip).updates().isEmpty());
    }

    @Test
    public void largestDatagramFits() {
        Membership membership =
                new Membership(
                        MembershipSettings.defaults(),
                        update(SENDER, MemberState.ALIVE),
                        new Random(1),
                        0);
        for (int i = 0; i < 100; i++) {
            VmIdentity other = new VmIdentity("vm-of-a-long-name-" + i, Long.MAX_VALUE - i);
            List<MemberUpdate> own = List.of(update(other, MemberState.ALIVE));
            membership.onGossip(
                    new GossipMessage(other, 0, GossipKind.RUMOR, 0, Optional.empty(), 0, own), 1);
        }
        int largest = 0;
        for (MembershipAction action : membership.onTick(1_000)) {
            if (action instanceof SendGossip send) {
                Gossip gossip =
                        GossipCodec.encode(send.message())
                                .setVersion(PeerTransport.VERSION)
                                .setFleet("a-fleet-of-quite-a-long-name")
                                .setHeadNumber(Long.MAX_VALUE)
                                .build();
                largest = Math.max(largest, gossip.getSerializedSize());
            }
        }
        assertTrue(
                largest > 600,
                "The datagram is too small to test the limit: " + largest + " bytes.");
        assertTrue(largest <= PeerTransport.MAX_DATAGRAM_BYTES, largest + " bytes don't fit.");
    }

    private static MemberUpdate update(VmIdentity identity, MemberState state) {
        Endpoint callers = new Endpoint("192.168.100.100", 65_001);
        Endpoint peers = new Endpoint("192.168.100.100", 65_002);
        Endpoint operators = new Endpoint("192.168.100.100", 65_003);
        return new MemberUpdate(
                new Vm(identity, "availability-zone-a", callers, peers), operators, state, 3);
    }
}
