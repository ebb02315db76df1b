package org.dahliapass.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.UnknownReason;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.RequestHandler;
import org.dahliapass.wire.message.EvidenceReport;
import org.dahliapass.wire.message.EvidenceReportReply;
import org.dahliapass.wire.message.FetchChanges;
import org.dahliapass.wire.message.FetchText;
import org.dahliapass.wire.message.FetchTextReply;
import org.dahliapass.wire.message.IntentStatus;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.RecordIntentReply;
import org.dahliapass.wire.message.RecordOutcome;
import org.dahliapass.wire.message.RecordOutcomeReply;

/** Handles requests from other VMs. */
final class PeerRequestHandler implements RequestHandler {
    private final ControlLoop mLoop;
    private final Supplier<FleetService> mFleet;
    private final Supplier<AtMostOnceService> mOperations;
    private final Supplier<ServiceTable> mServices;
    private final Supplier<ConfigurationService> mConfiguration;

    PeerRequestHandler(Kernel kernel, ControlLoop loop) {
        mLoop = loop;
        mFleet = () -> kernel.find(FleetService.NAME, FleetService.class);
        mOperations = () -> kernel.find(AtMostOnceService.NAME, AtMostOnceService.class);
        mServices = () -> kernel.find(ServiceTable.NAME, ServiceTable.class);
        mConfiguration = () -> kernel.find(ConfigurationService.NAME, ConfigurationService.class);
    }

    @Override
    public CompletableFuture<PeerReply> onRequest(PeerRequest request) {
        VmIdentity sender = GossipCodec.decode(request.getSender());
        mLoop.execute(() -> mFleet.get().onHeard(sender));
        return switch (request.getBodyCase()) {
            case JOIN -> onJoin(request);
            case RECORD_INTENT -> onIntent(sender, request);
            case RECORD_OUTCOME -> onOutcome(sender, request.getRecordOutcome());
            case RESOLVE_KEY -> onResolve(request);
            case EVIDENCE_REPORT -> onEvidence(request.getEvidenceReport());
            case FETCH_CHANGES -> onFetchChanges(request.getFetchChanges());
            case FETCH_TEXT -> onFetchText(request.getFetchText());
            default ->
                    CompletableFuture.failedFuture(
                            new IllegalArgumentException(
                                    "The request type is unknown to this release."));
        };
    }

    private CompletableFuture<PeerReply> onFetchChanges(FetchChanges request) {
        return mConfiguration
                .get()
                .onFetch(ChangeCodec.decode(request))
                .thenApply(
                        response ->
                                PeerReply.newBuilder()
                                        .setFetchChanges(ChangeCodec.encode(response))
                                        .build());
    }

    private CompletableFuture<PeerReply> onFetchText(FetchText request) {
        return mConfiguration
                .get()
                .onFetchText(request.getCustomer(), request.getDigest())
                .thenApply(
                        text -> {
                            FetchTextReply.Builder reply = FetchTextReply.newBuilder();
                            text.ifPresent(
                                    found ->
                                            reply.setFound(true)
                                                    .setText(ByteString.copyFromUtf8(found)));
                            return PeerReply.newBuilder().setFetchText(reply).build();
                        });
    }

    private CompletableFuture<PeerReply> onJoin(PeerRequest request) {
        Optional<JoinRequest> join = GossipCodec.decode(request.getJoin());
        if (join.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "The join request lacks the sender's member update."));
        }
        return mLoop.submit(() -> mFleet.get().onJoin(join.get()))
                .thenApply(
                        members ->
                                PeerReply.newBuilder()
                                        .setJoin(GossipCodec.encode(members))
                                        .build());
    }

    private CompletableFuture<PeerReply> onIntent(VmIdentity sender, PeerRequest request) {
        Optional<Operation> operation =
                AtMostOnceCodec.operation(
                        request.getRecordIntent().getCustomer(),
                        request.getRecordIntent().getKey());
        if (operation.isEmpty()) {
            return completed(intentReply(IntentStatus.INTENT_REFUSED));
        }
        return mOperations
                .get()
                .onIntent(sender, operation.get())
                .thenApply(reply -> intentReply(AtMostOnceCodec.encode(reply)));
    }

    private static PeerReply intentReply(IntentStatus status) {
        return PeerReply.newBuilder()
                .setRecordIntent(RecordIntentReply.newBuilder().setStatus(status))
                .build();
    }

    private CompletableFuture<PeerReply> onOutcome(VmIdentity sender, RecordOutcome message) {
        AtMostOnceCodec.decode(message)
                .ifPresent(notice -> mOperations.get().onOutcome(sender, notice));
        return completed(
                PeerReply.newBuilder()
                        .setRecordOutcome(RecordOutcomeReply.getDefaultInstance())
                        .build());
    }

    private CompletableFuture<PeerReply> onResolve(PeerRequest request) {
        Optional<Operation> operation =
                AtMostOnceCodec.operation(
                        request.getResolveKey().getCustomer(), request.getResolveKey().getKey());
        CompletableFuture<OperationAnswer> answer =
                operation
                        .map(found -> mOperations.get().onResolve(found))
                        .orElseGet(
                                () ->
                                        CompletableFuture.completedFuture(
                                                new OperationAnswer.Unknown(
                                                        UnknownReason.NO_WORD)));
        return answer.thenApply(
                found ->
                        PeerReply.newBuilder()
                                .setResolveKey(AtMostOnceCodec.encode(found))
                                .build());
    }

    private CompletableFuture<PeerReply> onEvidence(EvidenceReport report) {
        mLoop.execute(
                () ->
                        mServices
                                .get()
                                .onPeerReport(
                                        EvidenceCodec.decode(report),
                                        EvidenceCodec.inFlight(report)));
        return completed(
                PeerReply.newBuilder()
                        .setEvidenceReport(EvidenceReportReply.getDefaultInstance())
                        .build());
    }

    private static CompletableFuture<PeerReply> completed(PeerReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
