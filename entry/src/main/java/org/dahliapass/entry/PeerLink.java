package org.dahliapass.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.RecordsRequest;
import org.dahliapass.decisions.configuration.RecordsResponse;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.LinkFilter;
import org.dahliapass.wire.PeerTransport;
import org.dahliapass.wire.PeerTransportSettings;
import org.dahliapass.wire.TrafficCounters;
import org.dahliapass.wire.message.FetchText;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/** Sends gossip, at-most-once messages, evidence and configuration requests to other VMs. */
final class PeerLink implements KernelService, GossipLink, PeerClient, EvidenceLink {
    /** The name under which the link is registered with the kernel. */
    static final String NAME = "peer-link";

    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration OPERATION_TIMEOUT = Duration.ofMillis(750);
    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(900);

    /** Leaves room in the datagram for the sender and the fleet name, added by the transport. */
    private static final int MAX_RUMOR_BYTES = 1000;

    /** The overhead of a message and its reply: headers and sender fields. */
    private static final int OVERHEAD_BYTES = 200;

    private static final Duration EVIDENCE_TIMEOUT = Duration.ofSeconds(1);

    private final PeerTransport mTransport;
    private FleetService mFleet;
    private ConfigurationService mConfiguration;

    PeerLink(VmIdentity self, VmSettings settings, LinkFilter filter) {
        mTransport =
                new PeerTransport(
                        new PeerTransportSettings(
                                settings.fleet(), self, settings.address(), settings.peersPort()),
                        filter);
    }

    /** Returns the peer address of this VM; valid once started. */
    Endpoint endpoint() {
        return mTransport.endpoint();
    }

    /** Returns the counters of sent, received and refused messages. */
    TrafficCounters counters() {
        return mTransport.counters();
    }

    @Override
    public void send(Endpoint peer, GossipMessage message) {
        mTransport.sendDatagram(peer, GossipCodec.encode(message).build());
    }

    @Override
    public CompletableFuture<List<MemberUpdate>> exchange(
            Endpoint peer, long recipientIncarnation, JoinRequest request) {
        PeerRequest message =
                PeerRequest.newBuilder()
                        .setRecipientIncarnation(recipientIncarnation)
                        .setJoin(GossipCodec.encode(request))
                        .build();
        return mTransport
                .request(peer, message, JOIN_TIMEOUT)
                .thenApply(reply -> GossipCodec.decode(reply.getJoin()));
    }

    @Override
    public CompletableFuture<IntentReply> recordIntent(VmIdentity witness, Operation operation) {
        PeerRequest.Builder request =
                PeerRequest.newBuilder().setRecordIntent(AtMostOnceCodec.intent(operation));
        return request(witness, "record intent", request, OPERATION_TIMEOUT)
                .thenApply(reply -> AtMostOnceCodec.decode(reply.getRecordIntent().getStatus()));
    }

    @Override
    public CompletableFuture<Void> recordOutcome(VmIdentity witness, OutcomeNotice notice) {
        PeerRequest.Builder request =
                PeerRequest.newBuilder().setRecordOutcome(AtMostOnceCodec.outcome(notice));
        return request(witness, "record outcome", request, OPERATION_TIMEOUT)
                .thenApply(reply -> null);
    }

    @Override
    public CompletableFuture<ResolveReply> resolve(VmIdentity peer, Operation operation) {
        PeerRequest.Builder request =
                PeerRequest.newBuilder().setResolveKey(AtMostOnceCodec.resolve(operation));
        return request(peer, "resolve key", request, OPERATION_TIMEOUT)
                .thenApply(
                        reply ->
                                new ResolveReply(
                                        peer, AtMostOnceCodec.decode(reply.getResolveKey())));
    }

    @Override
    public long report(List<Vm> peers, EvidenceReport report, List<TargetInFlight> inFlight) {
        PeerRequest message =
                PeerRequest.newBuilder()
                        .setEvidenceReport(EvidenceCodec.encode(report, inFlight))
                        .build();
        for (Vm peer : peers) {
            Futures.whenDone(
                    send(peer, message.toBuilder(), EVIDENCE_TIMEOUT), (reply, failure) -> {});
        }
        return (long) peers.size() * (message.getSerializedSize() + OVERHEAD_BYTES);
    }

    /** Sends changes to a member as datagrams; pings reveal lost ones by the head number. */
    void sendRumor(VmIdentity member, List<ChangeRecord> records) {
        Optional<Vm> peer = mFleet.view().find(member);
        if (peer.isEmpty()) {
            return;
        }
        for (ChangeRecord record : records) {
            Gossip.Builder gossip =
                    Gossip.newBuilder()
                            .setKind(Gossip.Kind.RUMOR)
                            .setRecipientIncarnation(member.incarnation())
                            .setHeadNumber(record.number())
                            .addChanges(ChangeCodec.encode(record));
            if (gossip.build().getSerializedSize() <= MAX_RUMOR_BYTES) {
                mTransport.sendDatagram(peer.get().peerEndpoint(), gossip.build());
            }
        }
    }

    /** Requests changes from a member. */
    CompletableFuture<RecordsResponse> fetchChanges(VmIdentity peer, RecordsRequest request) {
        PeerRequest.Builder message =
                PeerRequest.newBuilder().setFetchChanges(ChangeCodec.encode(request));
        return request(peer, "fetch changes", message, FETCH_TIMEOUT)
                .thenApply(reply -> ChangeCodec.decode(reply.getFetchChanges()));
    }

    /** Requests a template's text from a member; empty if the member does not have it. */
    CompletableFuture<Optional<String>> fetchText(VmIdentity peer, String customer, String digest) {
        FetchText fetch = FetchText.newBuilder().setCustomer(customer).setDigest(digest).build();
        PeerRequest.Builder message = PeerRequest.newBuilder().setFetchText(fetch);
        return request(peer, "fetch text", message, FETCH_TIMEOUT)
                .thenApply(
                        reply ->
                                reply.getFetchText().getFound()
                                        ? Optional.of(reply.getFetchText().getText().toStringUtf8())
                                        : Optional.empty());
    }

    /** Sends a request to a member; fails if no member has this identity. */
    CompletableFuture<PeerReply> request(
            VmIdentity identity, String step, PeerRequest.Builder request, Duration timeout) {
        Optional<Vm> peer = mFleet.view().find(identity);
        if (peer.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new OperationException(
                            step,
                            identity.toString(),
                            "No member of the fleet has this identity."));
        }
        return send(peer.get(), request, timeout);
    }

    /** Sends a request that only this incarnation of the peer accepts. */
    CompletableFuture<PeerReply> send(Vm peer, PeerRequest.Builder request, Duration timeout) {
        PeerRequest message =
                request.setRecipientIncarnation(peer.identity().incarnation()).build();
        return mTransport.request(peer.peerEndpoint(), message, timeout);
    }

    private void onGossip(Gossip gossip) {
        GossipMessage message = GossipCodec.decode(gossip);
        if (gossip.getChangesCount() > 0) {
            mFleet.onHeard(message.sender());
            mConfiguration.onRumor(ChangeCodec.decode(gossip.getChangesList()));
            return;
        }
        mFleet.onGossip(message);
        mConfiguration.onPing(message.sender(), message.headNumber());
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        ControlLoop loop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mTransport.setGossipHandler((from, gossip) -> loop.execute(() -> onGossip(gossip)));
        mConfiguration = kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        mTransport.setMembershipCheck(identity -> mFleet.memberIdentities().contains(identity));
        mTransport.setRequestHandler(new PeerRequestHandler(kernel, loop));
        return mTransport.start(kernel);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mTransport.stop();
    }

    /** Returns the identities of members. */
    static Set<VmIdentity> identities(List<MemberUpdate> members) {
        return members.stream().map(MemberUpdate::identity).collect(Collectors.toSet());
    }
}
