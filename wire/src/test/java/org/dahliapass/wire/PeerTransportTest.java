package org.dahliapass.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.FetchChanges;
import org.dahliapass.wire.message.FetchChangesReply;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests two {@link PeerTransport}s over loopback. */
public final class PeerTransportTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofMillis(50);
    private static final String HOST = "127.0.0.1";
    private static final VmIdentity ALICE = new VmIdentity("alice", 1);
    private static final VmIdentity BOB = new VmIdentity("bob", 2);

    private final List<PeerTransport> mTransports = new ArrayList<>();
    private final BlockingQueue<Gossip> mReceived = new LinkedBlockingQueue<>();

    @AfterMethod
    public void stopAll() throws Exception {
        for (PeerTransport transport : mTransports) {
            join(transport.stop());
        }
        mTransports.clear();
        mReceived.clear();
    }

    @Test
    public void datagramArrives() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        alice.sendDatagram(bob.endpoint(), ping(5));
        assertEquals(mReceived.poll(LONG.toSeconds(), TimeUnit.SECONDS).getSequence(), 5);
        assertEquals(bob.counters().messages(TrafficKind.PING, Direction.IN), 1);
        assertEquals(
                bob.counters().bytes(TrafficKind.PING, Direction.IN),
                alice.counters().bytes(TrafficKind.PING, Direction.OUT));
    }

    @Test
    public void oversizedDatagramIsDroppedAndCounted() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        ByteString payload = ByteString.copyFrom(new byte[PeerTransport.MAX_DATAGRAM_BYTES]);
        alice.sendDatagram(alice.endpoint(), withUnknownField(ping(1), payload));
        assertEquals(alice.counters().oversized(), 1);
        assertEquals(alice.counters().messages(TrafficKind.PING, Direction.OUT), 0);
    }

    @Test
    public void unknownFieldsAreIgnored() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        Gossip newer = withUnknownField(ping(6), ByteString.copyFromUtf8("new"));
        alice.sendDatagram(bob.endpoint(), newer);
        assertEquals(mReceived.poll(LONG.toSeconds(), TimeUnit.SECONDS).getSequence(), 6);
    }

    @Test
    public void repliesOutOfOrderAreMatchedToTheirRequests() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        List<CompletableFuture<PeerReply>> pending = new ArrayList<>();
        BlockingQueue<Long> requested = new LinkedBlockingQueue<>();
        PeerTransport bob =
                start(
                        BOB,
                        0,
                        LinkFilter.ALLOW_ALL,
                        request -> {
                            pending.add(new CompletableFuture<>());
                            requested.add(request.getFetchChanges().getSinceNumber());
                            return pending.get(pending.size() - 1);
                        });
        CompletableFuture<PeerReply> first = alice.request(bob.endpoint(), fetch(10), LONG);
        CompletableFuture<PeerReply> second = alice.request(bob.endpoint(), fetch(20), LONG);
        assertEquals(requested.poll(LONG.toSeconds(), TimeUnit.SECONDS), Long.valueOf(10));
        assertEquals(requested.poll(LONG.toSeconds(), TimeUnit.SECONDS), Long.valueOf(20));
        pending.get(1).complete(head(20));
        assertEquals(join(second).getFetchChanges().getThroughNumber(), 20);
        assertFalse(first.isDone(), "the second reply completed the first request");
        pending.get(0).complete(head(10));
        assertEquals(join(first).getFetchChanges().getThroughNumber(), 10);
    }

    @Test
    public void rejectionReportsItsStatus() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        PeerRequest misdirected = fetch(1).toBuilder().setRecipientIncarnation(1).build();
        Throwable failure = failure(alice.request(bob.endpoint(), misdirected, LONG));
        assertEquals(((RefusedException) failure).status(), ReplyStatus.WRONG_INCARNATION);
        assertEquals(bob.counters().refused(ReplyStatus.WRONG_INCARNATION), 1);
    }

    @Test
    public void requestOfUnknownTypeIsRejected() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        PeerRequest unknown = fetch(1).toBuilder().clearBody().build();
        Throwable failure = failure(alice.request(bob.endpoint(), unknown, LONG));
        assertEquals(((RefusedException) failure).status(), ReplyStatus.UNKNOWN_REQUEST);
    }

    @Test
    public void handlerFailureIsReportedToTheRequester() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob =
                start(
                        BOB,
                        0,
                        LinkFilter.ALLOW_ALL,
                        request -> {
                            throw new IllegalStateException("thrown by the test");
                        });
        Throwable failure = failure(alice.request(bob.endpoint(), fetch(1), LONG));
        assertEquals(((RefusedException) failure).status(), ReplyStatus.FAILED);
    }

    @Test
    public void lostPeerIsReportedAndReachedAgainAfterRestart() throws Exception {
        // A broken connection must be replaced, or requests keep failing after the peer restarts.
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        Endpoint address = bob.endpoint();
        join(alice.request(address, fetch(1), LONG));
        join(bob.stop());
        mTransports.remove(bob);
        OperationException failure =
                (OperationException) failure(alice.request(address, fetch(2), LONG));
        assertEquals(failure.peer(), address.toString());
        start(BOB, address.port(), LinkFilter.ALLOW_ALL);
        assertEquals(
                join(alice.request(address, fetch(3), LONG)).getFetchChanges().getThroughNumber(),
                3);
    }

    @Test
    public void filterAppliesPerDirection() throws Exception {
        // One-way partition: Bob's datagrams reach Alice, but her messages are lost.
        LinkFilter inboundOnly = (peer, direction) -> direction == Direction.IN;
        PeerTransport alice = start(ALICE, 0, inboundOnly);
        PeerTransport bob = start(BOB, 0, LinkFilter.ALLOW_ALL);
        Throwable failure = failure(alice.request(bob.endpoint(), fetch(1), SHORT));
        assertEquals(((OperationException) failure).operation(), "request FETCH_CHANGES");
        alice.sendDatagram(bob.endpoint(), ping(1));
        Gossip back = ping(9).toBuilder().setRecipientIncarnation(ALICE.incarnation()).build();
        bob.sendDatagram(alice.endpoint(), back);
        assertEquals(mReceived.poll(LONG.toSeconds(), TimeUnit.SECONDS).getSequence(), 9);
        assertEquals(bob.counters().messages(TrafficKind.PING, Direction.IN), 0);
        assertEquals(bob.counters().messages(TrafficKind.FETCH_CHANGES, Direction.IN), 0);
    }

    @Test
    public void stopWaitsForRequestsInFlight() throws Exception {
        // A planned stop must not abort a request that the handler is still processing.
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        CompletableFuture<Void> handlerCalled = new CompletableFuture<>();
        PeerTransport bob =
                start(
                        BOB,
                        0,
                        LinkFilter.ALLOW_ALL,
                        request -> {
                            handlerCalled.complete(null);
                            return result;
                        });
        CompletableFuture<PeerReply> reply = alice.request(bob.endpoint(), fetch(1), LONG);
        join(handlerCalled);
        CompletableFuture<Void> stopped = bob.stop();
        assertFalse(stopped.isDone(), "stop did not wait for the reply");
        result.complete(head(1));
        assertEquals(join(reply).getFetchChanges().getThroughNumber(), 1);
        join(stopped);
        mTransports.remove(bob);
    }

    @Test
    public void portInUseIsReported() throws Exception {
        PeerTransport alice = start(ALICE, 0, LinkFilter.ALLOW_ALL);
        PeerTransport second =
                new PeerTransport(
                        new PeerTransportSettings("fleet", BOB, HOST, alice.endpoint().port()),
                        LinkFilter.ALLOW_ALL);
        Throwable failure = failure(second.start(new Kernel()));
        assertTrue(failure.getMessage().contains("bind TCP"), failure.getMessage());
    }

    private PeerTransport start(VmIdentity self, int port, LinkFilter filter) throws Exception {
        return start(
                self,
                port,
                filter,
                request ->
                        CompletableFuture.completedFuture(
                                head(request.getFetchChanges().getSinceNumber())));
    }

    private PeerTransport start(
            VmIdentity self, int port, LinkFilter filter, RequestHandler handler) throws Exception {
        PeerTransport transport =
                new PeerTransport(new PeerTransportSettings("fleet", self, HOST, port), filter);
        transport.setMembershipCheck(identity -> identity.equals(ALICE) || identity.equals(BOB));
        transport.setGossipHandler((from, gossip) -> mReceived.add(gossip));
        transport.setRequestHandler(handler);
        join(transport.start(new Kernel()));
        mTransports.add(transport);
        return transport;
    }

    private static Gossip ping(long sequence) {
        return Gossip.newBuilder()
                .setKind(Gossip.Kind.PING)
                .setSequence(sequence)
                .setRecipientIncarnation(BOB.incarnation())
                .build();
    }

    private static Gossip withUnknownField(Gossip gossip, ByteString value) {
        UnknownFieldSet.Field field =
                UnknownFieldSet.Field.newBuilder().addLengthDelimited(value).build();
        return gossip.toBuilder()
                .setUnknownFields(UnknownFieldSet.newBuilder().addField(1000, field).build())
                .build();
    }

    private static PeerRequest fetch(long after) {
        return PeerRequest.newBuilder()
                .setRecipientIncarnation(BOB.incarnation())
                .setFetchChanges(FetchChanges.newBuilder().setSinceNumber(after))
                .build();
    }

    private static PeerReply head(long number) {
        return PeerReply.newBuilder()
                .setFetchChanges(FetchChangesReply.newBuilder().setThroughNumber(number))
                .build();
    }

    private static Throwable failure(CompletableFuture<?> future) {
        return expectThrows(
                        ExecutionException.class,
                        () -> future.get(LONG.toSeconds(), TimeUnit.SECONDS))
                .getCause();
    }

    private static <T> T join(CompletableFuture<T> future) throws Exception {
        return future.get(LONG.toSeconds(), TimeUnit.SECONDS);
    }
}
