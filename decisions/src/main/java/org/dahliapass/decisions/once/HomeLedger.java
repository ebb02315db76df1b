package org.dahliapass.decisions.once;

import java.util.Optional;
import org.dahliapass.decisions.once.HomeRecord.State;
import org.dahliapass.model.VmIdentity;

/**
 * The home's part of the at-most-once protocol: the ledger of the operations whose keys name this
 * VM incarnation as their home. No other VM dispatches them.
 *
 * <p>Before it answers "not run", the ledger records that the key must never run, and keeps that
 * record until the key has expired by the same clock. Not thread-safe; confined to one thread.
 */
public class HomeLedger {

    private final VmIdentity mSelf;
    private final int mMaxAttempts;
    private final OperationTable<HomeRecord> mTable;

    /**
     * Creates an empty ledger.
     *
     * @param self this VM incarnation
     * @param maxAttempts maximum number of dispatches of one operation, each after a refusal
     * @param window how long keys are accepted and kept
     * @param limits limits of the memory
     */
    public HomeLedger(
            VmIdentity self, int maxAttempts, RetentionWindow window, TableLimits limits) {
        this(self, maxAttempts, new OperationTable<>(window, limits));
    }

    HomeLedger(VmIdentity self, int maxAttempts, OperationTable<HomeRecord> table) {
        mSelf = self;
        mMaxAttempts = maxAttempts;
        mTable = table;
    }

    /**
     * Starts the operation of a request from a caller or another VM, or answers a repeated one.
     *
     * @param digest digest of the request's content, to distinguish a repeat from another request
     * @param deadlineMillis time after which the request is not dispatched, by this VM's clock
     * @param nowMillis the current time of this VM's clock
     */
    public BeginResult begin(
            Operation operation, String digest, long deadlineMillis, long nowMillis) {
        mTable.advance(nowMillis);
        if (!isHomeOf(operation.key())) {
            return new BeginResult.WrongHome(operation.key().home());
        }
        Optional<UnknownReason> refusal = mTable.refusal(operation.key());
        if (refusal.isPresent()) {
            return answered(new OperationAnswer.Unknown(refusal.get()));
        }
        Optional<HomeRecord> known = mTable.find(operation);
        if (known.isPresent()) {
            return answered(answerRepeat(known.get(), digest));
        }
        if (mTable.add(operation, HomeRecord.awaitingWitness(digest, deadlineMillis))) {
            return new BeginResult.SendIntent(operation.key().witness());
        }
        return answered(refuse(operation, HomeRecord.tombstone(digest, NotRunReason.HOME_FULL)));
    }

    /**
     * Returns the outcome of an operation. Refuses an unknown key for good.
     *
     * @param nowMillis the current time of this VM's clock
     * @return the outcome; empty if this VM isn't the key's home
     */
    public Optional<OperationAnswer> query(Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        if (!isHomeOf(operation.key())) {
            return Optional.empty();
        }
        Optional<UnknownReason> refusal = mTable.refusal(operation.key());
        if (refusal.isPresent()) {
            return Optional.of(new OperationAnswer.Unknown(refusal.get()));
        }
        return mTable.find(operation)
                .map(HomeRecord::answer)
                .or(() -> Optional.of(refuse(operation, queriedFirst())));
    }

    /** Records the witness's reply to an intent; dispatches or abandons the operation. */
    public HomeAction witnessReplied(Operation operation, IntentReply reply, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = mTable.find(operation).filter(this::awaitsWitness);
        if (known.isEmpty()) {
            return onLateEvent(operation);
        }
        if (!mayDispatch(reply)) {
            return abandon(operation, known.get(), reply.reason());
        }
        return dispatch(operation, known.get(), nowMillis);
    }

    /**
     * Abandons an operation whose witness has not replied in time or whose caller has disconnected.
     */
    public HomeAction witnessTimedOut(Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        return mTable.find(operation)
                .filter(record -> record.state() == State.AWAITING_WITNESS)
                .map(record -> abandon(operation, record, NotRunReason.WITNESS_SILENT))
                .orElseGet(() -> onLateEvent(operation));
    }

    /**
     * Records that an attempt certainly did not run, because no byte was sent or the target refused
     * the request at protocol level. Dispatches the operation again or abandons it.
     *
     * @param attempt the number of the refused attempt
     * @param anotherTarget whether another target is left
     * @param nowMillis the current time of this VM's clock
     */
    public HomeAction targetRefused(
            Operation operation, int attempt, boolean anotherTarget, long nowMillis) {
        mTable.advance(nowMillis);
        // A refusal of an earlier attempt proves nothing about the open one.
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return onLateEvent(operation);
        }
        boolean outcomeUnknown = known.get().state() == State.RESPONSE_LOST;
        if (outcomeUnknown || !anotherTarget || attempt >= mMaxAttempts) {
            return abandon(operation, known.get(), NotRunReason.TARGETS_REFUSED);
        }
        return dispatch(operation, known.get(), nowMillis);
    }

    /** Records that an attempt may have run, but its response was lost or timed out. */
    public HomeAction responseLost(Operation operation, int attempt, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return onLateEvent(operation);
        }
        HomeRecord updated = known.get().withResponseLost();
        mTable.replace(operation, updated);
        return new HomeAction.Respond(updated.answer(), Optional.empty());
    }

    /**
     * Records the complete response of a target, also after {@link #responseLost}. The action's
     * answer has the complete result; repeats may get a shortened one.
     */
    public HomeAction finished(
            Operation operation, int attempt, RecordedResult result, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return onLateEvent(operation);
        }
        RecordedResult recorded = mTable.fitResult(operation, result);
        mTable.replace(operation, known.get().withResult(recorded));
        OperationAnswer answer = new OperationAnswer.Result(result);
        return new HomeAction.Respond(answer, Optional.of(OutcomeNotice.ran(operation, recorded)));
    }

    /** Returns the number of recorded keys. */
    public int size() {
        return mTable.size();
    }

    /** Returns whether the key names this VM incarnation; another one has no record of what ran. */
    boolean isHomeOf(OperationKey key) {
        return key.home().equals(mSelf);
    }

    /**
     * Returns whether the witness's reply is still awaited. A duplicate or late reply must not
     * dispatch an operation that was already dispatched or answered with "not run".
     */
    boolean awaitsWitness(HomeRecord record) {
        return record.state() == State.AWAITING_WITNESS;
    }

    /**
     * Returns whether the witness has recorded the intent; otherwise it could later answer "not
     * run".
     */
    boolean mayDispatch(IntentReply reply) {
        return reply == IntentReply.ACCEPTED;
    }

    private static BeginResult answered(OperationAnswer answer) {
        return new BeginResult.Answered(answer);
    }

    private static HomeRecord queriedFirst() {
        return HomeRecord.tombstone("", NotRunReason.ASKED_FIRST);
    }

    private static OperationAnswer answerRepeat(HomeRecord known, String digest) {
        boolean mismatch = !known.digest().equals(digest) && known.state() != State.NOT_RUN;
        return mismatch ? new OperationAnswer.Mismatch() : known.answer();
    }

    /** Ignores a late event, or answers the waiting callers if the record has expired. */
    private HomeAction onLateEvent(Operation operation) {
        if (mTable.find(operation).isPresent()) {
            return new HomeAction.Ignore();
        }
        OperationAnswer answer = new OperationAnswer.Unknown(UnknownReason.EXPIRED);
        return new HomeAction.Respond(answer, Optional.empty());
    }

    /**
     * Returns the record if the attempt is still open; a late report must not affect the next one.
     */
    Optional<HomeRecord> openAttempt(Operation operation, int attempt) {
        return mTable.find(operation).filter(record -> record.isOpenAttempt(attempt));
    }

    /**
     * Answers "not run" only if the refusal is recorded; otherwise a later repeat of the key could
     * run after the caller has switched to a new key.
     */
    private OperationAnswer refuse(Operation operation, HomeRecord tombstone) {
        if (!mTable.addRefusal(operation, tombstone)) {
            return new OperationAnswer.Unknown(UnknownReason.TABLE_FULL);
        }
        return tombstone.answer();
    }

    private HomeAction dispatch(Operation operation, HomeRecord record, long nowMillis) {
        // A home that was paused drops requests that nobody waits for. Only the home dispatches the
        // key, so the operation never runs.
        if (nowMillis > record.deadlineMillis()) {
            return abandon(operation, record, NotRunReason.DEADLINE_PASSED);
        }
        HomeRecord dispatched = record.withNextAttempt();
        mTable.replace(operation, dispatched);
        return new HomeAction.Dispatch(dispatched.attempt());
    }

    private HomeAction abandon(Operation operation, HomeRecord record, NotRunReason reason) {
        HomeRecord tombstone = record.withNotRun(reason);
        mTable.replace(operation, tombstone);
        return new HomeAction.Respond(
                tombstone.answer(), Optional.of(OutcomeNotice.abandoned(operation)));
    }
}
