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

/** Tests of {@link PeerMessageValidator}. */
public final class PeerMessageValidatorTest {
    private static final String FLEET = "kathmandu";
    private static final VmIdentity SELF = new VmIdentity("vm-1", 7);
    private static final VmIdentity MEMBER = new VmIdentity("vm-2", 3);
    private static final VmIdentity NON_MEMBER = new VmIdentity("vm-3", 1);

    private final PeerMessageValidator mValidator =
            new PeerMessageValidator(FLEET, SELF, MEMBER::equals);

    @Test
    public void memberIsAccepted() {
        assertEquals(mValidator.validate(gossip(MEMBER).build()), ReplyStatus.OK);
        assertEquals(mValidator.validate(request(MEMBER).build()), ReplyStatus.OK);
    }

    @Test
    public void otherFleetIsRejected() {
        assertEquals(
                mValidator.validate(gossip(MEMBER).setFleet("suva").build()),
                ReplyStatus.WRONG_FLEET);
        assertEquals(
                mValidator.validate(request(MEMBER).setFleet("suva").build()),
                ReplyStatus.WRONG_FLEET);
    }

    @Test
    public void messageForFormerIncarnationIsRejected() {
        assertEquals(
                mValidator.validate(request(MEMBER).setRecipientIncarnation(6).build()),
                ReplyStatus.WRONG_INCARNATION);
        assertEquals(
                mValidator.validate(request(MEMBER).setRecipientIncarnation(0).build()),
                ReplyStatus.WRONG_INCARNATION);
    }

    @Test
    public void nonMemberIsRejected() {
        assertEquals(mValidator.validate(gossip(NON_MEMBER).build()), ReplyStatus.NOT_A_MEMBER);
        assertEquals(mValidator.validate(request(NON_MEMBER).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void memberOfOtherIncarnationIsRejected() {
        VmIdentity former = new VmIdentity(MEMBER.name(), MEMBER.incarnation() - 1);
        assertEquals(mValidator.validate(request(former).build()), ReplyStatus.NOT_A_MEMBER);
    }

    @Test
    public void nonMemberMayAnnounceItself() {
        Gossip.Builder announcement =
                gossip(NON_MEMBER).setRecipientIncarnation(0).addMembers(alive(NON_MEMBER));
        assertEquals(mValidator.validate(announcement.build()), ReplyStatus.OK);
        PeerRequest.Builder join =
                request(NON_MEMBER).setRecipientIncarnation(0).setJoin(Join.getDefaultInstance());
        assertEquals(mValidator.validate(join.build()), ReplyStatus.OK);
    }

    @Test
    public void nonMemberThatAnnouncesAnotherVmIsRejected() {
        Gossip.Builder update = gossip(NON_MEMBER).addMembers(alive(MEMBER));
        assertEquals(mValidator.validate(update.build()), ReplyStatus.NOT_A_MEMBER);
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
