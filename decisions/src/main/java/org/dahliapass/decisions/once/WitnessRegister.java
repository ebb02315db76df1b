package org.dahliapass.decisions.once;

import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/**
 * The witness's part of the at-most-once protocol: the register of the intents and outcomes of keys
 * that name this VM incarnation as their witness.
 *
 * <p>An entry goes from absent to intent to result or not run, or from absent to refused. Memory is
 * bounded, and no entry is evicted before its key has expired. Not thread-safe; confined to one
 * thread.
 */
public class WitnessRegister {

    /** The state of an entry. */
    private enum State {
        INTENT,
        RESULT,
        NOT_RUN,
        REFUSED
    }

    /**
     * An entry of the register.
     *
     * @param result the result; only with {@link State#RESULT}
     */
    record Entry(State state, Optional<RecordedResult> result) {

        private static Entry of(State state) {
            return new Entry(state, Optional.empty());
        }
    }

    private final VmIdentity mSelf;
    private final OperationTable<Entry> mTable;

    /**
     * Creates an empty register.
     *
     * @param self this VM incarnation
     * @param window how long keys are accepted and kept
     * @param limits limits of the memory
     */
    public WitnessRegister(VmIdentity self, RetentionWindow window, TableLimits limits) {
        this(self, new OperationTable<>(window, limits));
    }

    WitnessRegister(VmIdentity self, OperationTable<Entry> table) {
        mSelf = self;
        mTable = table;
    }

    /**
     * Records the intent of a home to dispatch an operation; a repeated intent gets the same reply.
     *
     * @param from the sender's identity, verified by the transport
     * @param nowMillis the current time of this VM's clock
     */
    public IntentReply recordIntent(VmIdentity from, Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        // Outcomes are queried only at the witness that the key names, and only the home that the
        // key names may dispatch.
        if (!isWitnessOf(operation.key()) || !from.equals(operation.key().home())) {
            return IntentReply.WRONG_INCARNATION;
        }
        if (mTable.refusal(operation.key()).isPresent()) {
            return IntentReply.EXPIRED;
        }
        Optional<Entry> known = mTable.find(operation);
        if (known.isPresent()) {
            boolean repeated = known.get().state() == State.INTENT;
            return repeated ? IntentReply.ACCEPTED : IntentReply.REFUSED;
        }
        boolean added = mTable.add(operation, Entry.of(State.INTENT));
        return added ? IntentReply.ACCEPTED : IntentReply.FULL;
    }

    /**
     * Records the outcome of an operation; ignores notices that are not from the key's home and all
     * but the first outcome.
     *
     * @param from the sender's identity, verified by the transport
     * @param nowMillis the current time of this VM's clock
     */
    public void recordOutcome(VmIdentity from, OutcomeNotice notice, long nowMillis) {
        mTable.advance(nowMillis);
        Operation operation = notice.operation();
        if (!isWitnessOf(operation.key()) || !from.equals(operation.key().home())) {
            return;
        }
        Optional<Entry> known = mTable.find(operation);
        if (known.isEmpty()) {
            refuseAfterEarlyNotice(notice);
            return;
        }
        if (known.get().state() != State.INTENT) {
            return;
        }
        Entry outcome =
                notice.result()
                        .map(result -> mTable.fitResult(operation, result))
                        .map(recorded -> new Entry(State.RESULT, Optional.of(recorded)))
                        .orElse(Entry.of(State.NOT_RUN));
        mTable.replace(operation, outcome);
    }

    /**
     * Returns the outcome of an operation whose home is unavailable. Refuses an unknown key for
     * good.
     *
     * @param nowMillis the current time of this VM's clock
     * @return a result, not run, or unknown
     */
    public OperationAnswer resolve(Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        // A restarted witness has no record of the keys that its earlier incarnation acknowledged.
        if (!isWitnessOf(operation.key())) {
            return new OperationAnswer.Unknown(UnknownReason.WITNESS_RESTARTED);
        }
        Optional<UnknownReason> refusal = mTable.refusal(operation.key());
        if (refusal.isPresent()) {
            return new OperationAnswer.Unknown(refusal.get());
        }
        return mTable.find(operation)
                .map(WitnessRegister::answerFor)
                .orElseGet(() -> refuseAbsent(operation));
    }

    /** Returns the number of recorded keys. */
    public int size() {
        return mTable.size();
    }

    /** Returns whether the key names this VM incarnation as its witness. */
    boolean isWitnessOf(OperationKey key) {
        return key.witness().equals(mSelf);
    }

    /** Records a refusal, so that every later intent for the operation fails. */
    boolean refuse(Operation operation) {
        return mTable.addRefusal(operation, Entry.of(State.REFUSED));
    }

    private OperationAnswer refuseAbsent(Operation operation) {
        if (!refuse(operation)) {
            return new OperationAnswer.Unknown(UnknownReason.TABLE_FULL);
        }
        return new OperationAnswer.NotRun(NotRunReason.REFUSED_BY_WITNESS);
    }

    /** Refuses an operation that was abandoned before its intent arrived. */
    private void refuseAfterEarlyNotice(OutcomeNotice notice) {
        boolean accepted = mTable.refusal(notice.operation().key()).isEmpty();
        if (accepted && notice.result().isEmpty()) {
            refuse(notice.operation());
        }
    }

    private static OperationAnswer answerFor(Entry entry) {
        return switch (entry.state()) {
            case INTENT -> new OperationAnswer.Unknown(UnknownReason.MAY_HAVE_RUN);
            case RESULT -> new OperationAnswer.Result(entry.result().orElseThrow());
            case NOT_RUN -> new OperationAnswer.NotRun(NotRunReason.ABANDONED);
            case REFUSED -> new OperationAnswer.NotRun(NotRunReason.REFUSED_BY_WITNESS);
        };
    }
}
