package org.dahliapass.decisions.once;

import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/**
 * Holds, for the keys that name this VM as their witness, what became of each.
 *
 * <p>Each entry is written once: absent, then intent, then result or not run; or absent, then
 * refused. Memory is bounded and nothing is dropped before its key has expired here.
 */
public class WitnessRegister {

    /** How far an entry has come. */
    private enum State {
        INTENT,
        RESULT,
        NOT_RUN,
        REFUSED
    }

    /**
     * One entry.
     *
     * @param state how far it has come
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
     * Makes an empty register.
     *
     * @param self this life of this VM
     * @param window how long keys are taken and kept
     * @param limits bounds of the memory
     */
    public WitnessRegister(VmIdentity self, RetentionWindow window, TableLimits limits) {
        this(self, new OperationTable<>(window, limits));
    }

    WitnessRegister(VmIdentity self, OperationTable<Entry> table) {
        mSelf = self;
        mTable = table;
    }

    /**
     * Records that a home is about to dispatch; the same intent again gets the same reply.
     *
     * @param from who sent the intent, as the connection or datagram proved it
     * @param operation what is about to be dispatched
     * @param nowMillis this VM's clock
     */
    public IntentReply recordIntent(VmIdentity from, Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        // An acknowledgement by a life that the key does not name would be worth nothing: askers
        // go to the named one. Nor may a home's later life dispatch for the earlier.
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
     * Records how an operation ended; only the key's home may say so, and only the first end
     * counts.
     *
     * @param from who sent the notice
     * @param notice how the operation ended
     * @param nowMillis this VM's clock
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
        Entry end =
                notice.result()
                        .map(result -> mTable.fitResult(operation, result))
                        .map(kept -> new Entry(State.RESULT, Optional.of(kept)))
                        .orElse(Entry.of(State.NOT_RUN));
        mTable.replace(operation, end);
    }

    /**
     * Answers what became of an operation whose home gives no word; an unknown key is refused for
     * good by being asked for.
     *
     * @param operation the operation asked for
     * @param nowMillis this VM's clock
     * @return result, not run, or unknown
     */
    public OperationAnswer resolve(Operation operation, long nowMillis) {
        mTable.advance(nowMillis);
        // A restarted witness has an empty register. Answering "not run" from that would be false
        // for each key that its former life acknowledged.
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

    /** Returns how many keys are on record. */
    public int size() {
        return mTable.size();
    }

    /** Tells whether the key names this very life as its witness. */
    boolean isWitnessOf(OperationKey key) {
        return key.witness().equals(mSelf);
    }

    /** Writes the refusal that makes "not run" stay true: every later intent for it fails. */
    boolean refuse(Operation operation) {
        return mTable.addRefusal(operation, Entry.of(State.REFUSED));
    }

    private OperationAnswer refuseAbsent(Operation operation) {
        if (!refuse(operation)) {
            return new OperationAnswer.Unknown(UnknownReason.TABLE_FULL);
        }
        return new OperationAnswer.NotRun(NotRunReason.REFUSED_BY_WITNESS);
    }

    /** An abandonment that overtakes its intent refuses that intent when it comes. */
    private void refuseAfterEarlyNotice(OutcomeNotice notice) {
        boolean taken = mTable.refusal(notice.operation().key()).isEmpty();
        if (taken && notice.result().isEmpty()) {
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
