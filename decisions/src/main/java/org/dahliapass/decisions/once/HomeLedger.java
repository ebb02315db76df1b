package org.dahliapass.decisions.once;

import java.util.Optional;
import org.dahliapass.decisions.once.HomeRecord.State;
import org.dahliapass.model.VmIdentity;

/**
 * Decides for the keys that name this VM as their home; nothing else in the fleet dispatches them.
 *
 * <p>Every "not run" that leaves this class is backed by a record that forbids the run, kept until
 * the key has expired by the same clock.
 */
public class HomeLedger {

    private final VmIdentity mSelf;
    private final int mMaxAttempts;
    private final OperationTable<HomeRecord> mTable;

    /**
     * Makes an empty ledger.
     *
     * @param self this life of this VM
     * @param maxAttempts how many targets one operation is offered to, each after a proved refusal
     * @param window how long keys are taken and kept
     * @param limits bounds of the memory
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
     * Takes in a guarded request, from a caller or forwarded by another VM.
     *
     * @param operation its customer and key
     * @param digest digest of its content, to tell a repeat from another request
     * @param deadlineMillis when it is no longer worth starting, by this VM's clock
     * @param nowMillis this VM's clock
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
     * Answers what became of an operation; a key not seen so far is refused for good by being asked
     * for.
     *
     * @param operation the operation asked for
     * @param nowMillis this VM's clock
     * @return the answer; empty if this VM isn't the key's home
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
                .or(() -> Optional.of(refuse(operation, askedFirst())));
    }

    /** Takes in the witness's reply to an intent. */
    public HomeAction witnessReplied(Operation operation, IntentReply reply, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = mTable.find(operation).filter(this::awaitsWitness);
        if (known.isEmpty()) {
            return late(operation);
        }
        if (!mayDispatch(reply)) {
            return abandon(operation, known.get(), reply.reason());
        }
        return dispatch(operation, known.get(), nowMillis);
    }

    /** Gives an operation up whose witness has not replied in time, or whose caller has left. */
    public HomeAction witnessTimedOut(Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        return mTable.find(operation)
                .filter(record -> record.state() == State.AWAITING_WITNESS)
                .map(record -> abandon(operation, record, NotRunReason.WITNESS_SILENT))
                .orElseGet(() -> late(operation));
    }

    /**
     * Takes in the proof that an attempt ran nothing: no byte of it was sent, or the target refused
     * it by the protocol's own means.
     *
     * @param operation the operation
     * @param attempt the number of the attempt that was refused
     * @param anotherTarget whether there is a target left to offer it to
     * @param nowMillis this VM's clock
     */
    public HomeAction targetRefused(
            Operation operation, int attempt, boolean anotherTarget, long nowMillis) {
        mTable.advance(nowMillis);
        // Proof about an earlier attempt says nothing on the one now open.
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return late(operation);
        }
        boolean given = known.get().state() == State.RESPONSE_LOST;
        if (given || !anotherTarget || attempt >= mMaxAttempts) {
            return abandon(operation, known.get(), NotRunReason.TARGETS_REFUSED);
        }
        return dispatch(operation, known.get(), nowMillis);
    }

    /** Takes in that an attempt may have run but its answer has not come: time-out or broken. */
    public HomeAction responseLost(Operation operation, int attempt, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return late(operation);
        }
        HomeRecord lost = known.get().withResponseLost();
        mTable.replace(operation, lost);
        return new HomeAction.Respond(lost.answer(), Optional.empty());
    }

    /**
     * Takes in the whole answer of a target, also after {@link #responseLost}. Who waits for that
     * answer gets it whole in any case; the action tells what is kept and what repeats are told.
     */
    public HomeAction finished(
            Operation operation, int attempt, RecordedResult result, long nowMillis) {
        mTable.advance(nowMillis);
        Optional<HomeRecord> known = openAttempt(operation, attempt);
        if (known.isEmpty()) {
            return late(operation);
        }
        RecordedResult kept = mTable.fitResult(operation, result);
        mTable.replace(operation, known.get().withResult(kept));
        OperationAnswer answer = new OperationAnswer.Result(result);
        return new HomeAction.Respond(answer, Optional.of(OutcomeNotice.ran(operation, kept)));
    }

    /** Returns how many keys are on record. */
    public int size() {
        return mTable.size();
    }

    /** Tells whether the key names this very life; a later life knows nothing of what ran. */
    boolean isHomeOf(OperationKey key) {
        return key.home().equals(mSelf);
    }

    /**
     * Guards against a reply that comes twice or after the home has given up: it would dispatch a
     * key that was already dispatched or already answered "not run".
     */
    boolean awaitsWitness(HomeRecord record) {
        return record.state() == State.AWAITING_WITNESS;
    }

    /** Guards against a run of which the witness knows nothing and answers "not run" later. */
    boolean mayDispatch(IntentReply reply) {
        return reply == IntentReply.ACCEPTED;
    }

    private static BeginResult answered(OperationAnswer answer) {
        return new BeginResult.Answered(answer);
    }

    private static HomeRecord askedFirst() {
        return HomeRecord.tombstone("", NotRunReason.ASKED_FIRST);
    }

    private static OperationAnswer answerRepeat(HomeRecord known, String digest) {
        boolean other = !known.digest().equals(digest) && known.state() != State.NOT_RUN;
        return other ? new OperationAnswer.Mismatch() : known.answer();
    }

    /** Answers those who still wait for an operation whose record has expired meanwhile. */
    private HomeAction late(Operation operation) {
        if (mTable.find(operation).isPresent()) {
            return new HomeAction.Ignore();
        }
        OperationAnswer answer = new OperationAnswer.Unknown(UnknownReason.EXPIRED);
        return new HomeAction.Respond(answer, Optional.empty());
    }

    /** Guards against a late report on one attempt that would end, or repeat, the next. */
    Optional<HomeRecord> openAttempt(Operation operation, int attempt) {
        return mTable.find(operation).filter(record -> record.isOpenAttempt(attempt));
    }

    /**
     * Says "not run" only once that is on record; else a repeat of the key that arrives when there
     * is room again would run, after its caller had already gone on to a new key.
     */
    private OperationAnswer refuse(Operation operation, HomeRecord tombstone) {
        if (!mTable.addRefusal(operation, tombstone)) {
            return new OperationAnswer.Unknown(UnknownReason.TABLE_FULL);
        }
        return tombstone.answer();
    }

    private HomeAction dispatch(Operation operation, HomeRecord record, long nowMillis) {
        // A home frozen since the acknowledgement wakes with a request nobody waits for. It alone
        // dispatches the key, so giving it up here is proof that it never runs.
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
