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
public final class PeerMessageValidatorTest {
    private static final String FLEET = "kathmandu";
    private static final VmIdentity SELF = new VmIdentity("vm-1", 7);
    private static final VmIdentity MEMBER = new VmIdentity("vm-2", 3);
    private static final VmIdentity STRANGER = new VmIdentity("vm-3", 1);

    private final PeerMessageValidator mGuard =
            new PeerMessageValidator(FLEET, SELF, MEMBER::equals);

    @Test
    public void memberMaySpeak() {
        assertEquals(mGuard.validate(gossip(MEMBER).build()), ReplyStatus.OK);
        assertEquals(mGuard.validate(request(MEMBER).build()), ReplyStatus.OK);
    }

    @Test
    public void otherFleetIsRefused() {
        assertEquals(
                mGuard.validate(gossip(MEMBER).setFleet("suva").build()), ReplyStatus.WRONG_FLEET);
        assertEquals(
                mGuard.validate(request(MEMBER).setFleet("suva").build()), ReplyStatus.WRONG_FLEET);
    }

    @Test
    public void messageForFormerProcessIsRefused() {
        assertEquals(
                mGuard.validate(request(MEMBER).setRecipientIncarnation(6).build()),
                ReplyStatus.WRONG_INCARNATION);
        assertEquals(
                mGuard.validate(request(MEMBER).setRecipientIncarnation(0).build()),
                ReplyStatus.WRONG_INCARNATION);
    }

    @Test
    public void strangerIsRefused() {
        assertEquals(mGuard.validate(gossip(STRANGER).build()), ReplyStatus.NOT_A_MEMBER);
        assertEquals(mGuard.validate(request(STRANGER).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void memberOfOtherIncarnationIsRefused() {
        VmIdentity former = new VmIdentity(MEMBER.name(), MEMBER.incarnation() - 1);
        assertEquals(mGuard.validate(request(former).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void strangerMayIntroduceItself() {
        Gossip.Builder introduction =
                gossip(STRANGER).setRecipientIncarnation(0).addMembers(alive(STRANGER));
        assertEquals(mGuard.validate(introduction.build()), ReplyStatus.OK);
        PeerRequest.Builder join =
                request(STRANGER).setRecipientIncarnation(0).setJoin(Join.getDefaultInstance());
        assertEquals(mGuard.validate(join.build()), ReplyStatus.OK);
    }

    @Test
    public void strangerWithOthersNewsIsRefused() {
        Gossip.Builder hearsay = gossip(STRANGER).addMembers(alive(MEMBER));
        assertEquals(mGuard.validate(hearsay.build()), ReplyStatus.NOT_A_MEMBER);
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
