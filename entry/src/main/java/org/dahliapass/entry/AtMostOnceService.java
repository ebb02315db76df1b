package org.dahliapass.entry;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.dahliapass.decisions.once.BeginResult;
import org.dahliapass.decisions.once.HomeAction;
import org.dahliapass.decisions.once.HomeLedger;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.decisions.once.RecordedResult;
import org.dahliapass.decisions.once.Resolver;
import org.dahliapass.decisions.once.ResolverStep;
import org.dahliapass.decisions.once.RetentionWindow;
import org.dahliapass.decisions.once.TableLimits;
import org.dahliapass.decisions.once.WitnessRegister;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.VmIdentity;

/** Runs the at-most-once protocol of this VM, as home and as witness, on the control thread. */
public final class AtMostOnceService implements KernelService {
    /** The name under which the service is registered with the kernel. */
    public static final String NAME = "once";

    private static final ComponentLog LOG = ComponentLog.of("once");
    private static final int MAX_TARGET_ATTEMPTS = 3;
    private static final long CLOCK_MARGIN_MILLIS = 60_000;
    private static final int MAX_BODY_BYTES = 16 * 1024;

    /** The size of a record with a small result; larger results fill the table sooner. */
    private static final long BYTES_PER_RECORD = 1536;

    private static final int MAX_NOTICE_ATTEMPTS = 3;

    private final Clock mClock;
    private ControlLoop mLoop;
    private PeerClient mPeers;
    private final HomeLedger mLedger;
    private final WitnessRegister mRegister;
    private final Resolver mResolver;
    private final WitnessReachability mReachability = new WitnessReachability();

    /** Creates a service without records for this incarnation of the VM. */
    AtMostOnceService(VmIdentity self, VmSettings settings, Clock clock) {
        RetentionWindow window =
                new RetentionWindow(CLOCK_MARGIN_MILLIS, settings.operationWindow().toMillis());
        int capacity = settings.operationCapacity();
        TableLimits limits =
                new TableLimits(
                        capacity, capacity / 10, capacity * BYTES_PER_RECORD, MAX_BODY_BYTES);
        mClock = clock;
        mLedger = new HomeLedger(self, MAX_TARGET_ATTEMPTS, window, limits);
        mRegister = new WitnessRegister(self, window, limits);
        mResolver = new Resolver(self, mRegister);
    }

    /** Returns the reachability of the witnesses. */
    WitnessReachability witnessReachability() {
        return mReachability;
    }

    /** Begins an at-most-once request and returns the home ledger's decision. */
    CompletableFuture<BeginResult> begin(Operation operation, String digest, long deadlineMillis) {
        return mLoop.submit(
                () -> mLedger.begin(operation, digest, deadlineMillis, mClock.millis()));
    }

    /** Requests that the witness records the intent, and returns the home's next action. */
    CompletableFuture<HomeAction> requestIntent(VmIdentity witness, Operation operation) {
        return mPeers.recordIntent(witness, operation)
                .<Optional<IntentReply>>thenApply(Optional::of)
                .exceptionally(failure -> onWitnessUnreachable(operation, failure))
                .thenCompose(reply -> onIntentReply(operation, reply));
    }

    private Optional<IntentReply> onWitnessUnreachable(Operation operation, Throwable failure) {
        mReachability.onTimeout(operation.key().witness(), mClock.millis());
        LOG.info("No reply from the witness of " + operation.key() + ": " + failure.getMessage());
        return Optional.empty();
    }

    private CompletableFuture<HomeAction> onIntentReply(
            Operation operation, Optional<IntentReply> reply) {
        if (reply.isEmpty()) {
            return applyDecision(() -> mLedger.witnessTimedOut(operation, mClock.millis()));
        }
        mReachability.onReply(operation.key().witness());
        return applyDecision(() -> mLedger.witnessReplied(operation, reply.get(), mClock.millis()));
    }

    /** Records that an attempt did not run, and returns the home's next action. */
    CompletableFuture<HomeAction> targetRefused(
            Operation operation, int attempt, boolean anotherTarget) {
        return applyDecision(
                () -> mLedger.targetRefused(operation, attempt, anotherTarget, mClock.millis()));
    }

    /** Records that an attempt may have run and its response is lost. */
    CompletableFuture<HomeAction> responseLost(Operation operation, int attempt) {
        return applyDecision(() -> mLedger.responseLost(operation, attempt, mClock.millis()));
    }

    /** Records the result of an attempt that ran. */
    CompletableFuture<HomeAction> finished(
            Operation operation, int attempt, RecordedResult result) {
        return applyDecision(() -> mLedger.finished(operation, attempt, result, mClock.millis()));
    }

    private CompletableFuture<HomeAction> applyDecision(Supplier<HomeAction> decision) {
        return mLoop.submit(decision)
                .thenApply(
                        action -> {
                            if (action instanceof HomeAction.Respond respond) {
                                respond.notice()
                                        .ifPresent(
                                                notice ->
                                                        notifyWitness(notice, MAX_NOTICE_ATTEMPTS));
                            }
                            return action;
                        });
    }

    /** Without the notice, the witness reports the outcome as unknown. */
    private void notifyWitness(OutcomeNotice notice, int attemptsLeft) {
        VmIdentity witness = notice.operation().key().witness();
        Futures.whenDone(
                mPeers.recordOutcome(witness, notice),
                (ignored, failure) -> {
                    if (failure != null && attemptsLeft > 1) {
                        notifyWitness(notice, attemptsLeft - 1);
                    }
                });
    }

    /** Resolves the outcome of a key whose home is unavailable. */
    CompletableFuture<OperationAnswer> resolveWithoutHome(Operation operation) {
        return mLoop.submit(() -> mResolver.homeUnavailable(operation, mClock.millis()))
                .thenCompose(step -> runStep(operation, step));
    }

    /** Returns the outcome of a key, whichever VM is its home. */
    CompletableFuture<OperationAnswer> queryOutcome(Operation operation) {
        return mLoop.submit(() -> mLedger.query(operation, mClock.millis()))
                .thenCompose(
                        own ->
                                own.isPresent()
                                        ? CompletableFuture.completedFuture(own.get())
                                        : startResolution(operation));
    }

    private CompletableFuture<OperationAnswer> startResolution(Operation operation) {
        return mLoop.submit(() -> mResolver.start(operation, mClock.millis()))
                .thenCompose(step -> runStep(operation, step));
    }

    private CompletableFuture<OperationAnswer> runStep(Operation operation, ResolverStep step) {
        if (step instanceof ResolverStep.Answer answer) {
            return CompletableFuture.completedFuture(answer.answer());
        }
        if (step instanceof ResolverStep.ForwardToHome forward) {
            return mPeers.resolve(forward.home(), operation)
                    .<Optional<PeerClient.ResolveReply>>thenApply(Optional::of)
                    .exceptionally(failure -> Optional.empty())
                    .thenCompose(reply -> onHomeReply(operation, reply))
                    .thenCompose(next -> runStep(operation, next));
        }
        ResolverStep.QueryWitness query = (ResolverStep.QueryWitness) step;
        return mPeers.resolve(query.witness(), operation)
                .handle((reply, failure) -> onWitnessReply(operation, reply, failure))
                .thenCompose(next -> runStep(operation, next));
    }

    private CompletableFuture<ResolverStep> onHomeReply(
            Operation operation, Optional<PeerClient.ResolveReply> reply) {
        return mLoop.submit(
                () ->
                        reply.map(
                                        found ->
                                                mResolver.homeAnswered(
                                                        operation,
                                                        found.from(),
                                                        found.answer(),
                                                        mClock.millis()))
                                .orElseGet(
                                        () ->
                                                mResolver.homeUnavailable(
                                                        operation, mClock.millis())));
    }

    private ResolverStep onWitnessReply(
            Operation operation, PeerClient.ResolveReply reply, Throwable failure) {
        return failure != null
                ? mResolver.witnessUnavailable()
                : mResolver.witnessAnswered(operation, reply.from(), reply.answer());
    }

    /** Records a home's intent as the witness of its key. */
    CompletableFuture<IntentReply> onIntent(VmIdentity from, Operation operation) {
        return mLoop.submit(() -> mRegister.recordIntent(from, operation, mClock.millis()));
    }

    /** Records an outcome reported by a home. */
    void onOutcome(VmIdentity from, OutcomeNotice notice) {
        mLoop.execute(() -> mRegister.recordOutcome(from, notice, mClock.millis()));
    }

    /** Returns the outcome of an operation to a peer. */
    CompletableFuture<OperationAnswer> onResolve(Operation operation) {
        return mLoop.submit(
                () -> {
                    Optional<OperationAnswer> own = mLedger.query(operation, mClock.millis());
                    return own.orElseGet(() -> mRegister.resolve(operation, mClock.millis()));
                });
    }

    /** Returns the number of keys kept as home and as witness, in this order. */
    CompletableFuture<int[]> recordCounts() {
        return mLoop.submit(() -> new int[] {mLedger.size(), mRegister.size()});
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mPeers = kernel.find(PeerLink.NAME, PeerLink.class);
        return CompletableFuture.completedFuture(null);
    }
}
