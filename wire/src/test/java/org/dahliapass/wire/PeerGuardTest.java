package org.dahliapass.wire;

import static org.testng.Assert.assertEquals;

import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.Identity;
import org.dahliapass.wire.message.Join;
import org.dahliapass.wire.message.MemberStatus;
import org.dahliapass.wire.message.MemberUpdate;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;
import org.testng.annotations.Test;

/** Checks who may speak. */
public final class PeerGuardTest {
    private static final String FLEET = "kathmandu";
    private static final VmIdentity SELF = new VmIdentity("vm-1", 7);
    private static final VmIdentity MEMBER = new VmIdentity("vm-2", 3);
    private static final VmIdentity STRANGER = new VmIdentity("vm-3", 1);

    private final PeerGuard mGuard = new PeerGuard(FLEET, SELF, MEMBER::equals);

    @Test
    public void memberMaySpeak() {
        assertEquals(mGuard.check(gossip(MEMBER).build()), ReplyStatus.OK);
        assertEquals(mGuard.check(request(MEMBER).build()), ReplyStatus.OK);
    }

    @Test
    public void otherFleetIsRefused() {
        assertEquals(
                mGuard.check(gossip(MEMBER).setFleet("suva").build()), ReplyStatus.WRONG_FLEET);
        assertEquals(
                mGuard.check(request(MEMBER).setFleet("suva").build()), ReplyStatus.WRONG_FLEET);
    }

    @Test
    public void messageForFormerProcessIsRefused() {
        assertEquals(
                mGuard.check(request(MEMBER).setRecipientIncarnation(6).build()),
                ReplyStatus.WRONG_INCARNATION);
        assertEquals(
                mGuard.check(request(MEMBER).setRecipientIncarnation(0).build()),
                ReplyStatus.WRONG_INCARNATION);
    }

    @Test
    public void strangerIsRefused() {
        assertEquals(mGuard.check(gossip(STRANGER).build()), ReplyStatus.NOT_A_MEMBER);
        assertEquals(mGuard.check(request(STRANGER).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void memberOfOtherIncarnationIsRefused() {
        VmIdentity former = new VmIdentity(MEMBER.name(), MEMBER.incarnation() - 1);
        assertEquals(mGuard.check(request(former).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void strangerMayIntroduceItself() {
        Gossip.Builder introduction =
                gossip(STRANGER).setRecipientIncarnation(0).addMembers(alive(STRANGER));
        assertEquals(mGuard.check(introduction.build()), ReplyStatus.OK);
        PeerRequest.Builder join =
                request(STRANGER).setRecipientIncarnation(0).setJoin(Join.getDefaultInstance());
        assertEquals(mGuard.check(join.build()), ReplyStatus.OK);
    }

    @Test
    public void strangerWithOthersNewsIsRefused() {
        Gossip.Builder hearsay = gossip(STRANGER).addMembers(alive(MEMBER));
        assertEquals(mGuard.check(hearsay.build()), ReplyStatus.NOT_A_MEMBER);
    }

    private static Gossip.Builder gossip(VmIdentity sender) {
        return Gossip.newBuilder()
                .setFleet(FLEET)
                .setSender(identity(sender))
                .setRecipientIncarnation(SELF.incarnation());
    }

    private static PeerRequest.Builder request(VmIdentity sender) {
        return PeerRequest.newBuilder()
                .setFleet(FLEET)
                .setSender(identity(sender))
                .setRecipientIncarnation(SELF.incarnation());
    }

    private static MemberUpdate alive(VmIdentity vm) {
        return MemberUpdate.newBuilder()
                .setIdentity(identity(vm))
                .setStatus(MemberStatus.ALIVE)
                .build();
    }

    private static Identity identity(VmIdentity vm) {
        return Identity.newBuilder().setName(vm.name()).setIncarnation(vm.incarnation()).build();
    }
}
