package org.dahliapass.decisions.once;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Compares what the targets ran with what callers were told; fails at the first contradiction. */
final class OnceOracle {

    private final Map<Operation, RecordedResult> mRan = new HashMap<>();
    private final Set<Operation> mToldNotRun = new HashSet<>();

    /** A target runs an operation, perhaps long after its sender died. */
    void ran(Operation operation, RecordedResult result) {
        if (mRan.put(operation, result) != null) {
            throw new AssertionError("Ran twice: " + operation.key());
        }
        if (mToldNotRun.contains(operation)) {
            throw new AssertionError("Ran after the answer NOT_RUN: " + operation.key());
        }
    }

    /** A caller is told something. */
    void answered(Operation operation, OperationAnswer answer) {
        RecordedResult ran = mRan.get(operation);
        if (answer instanceof OperationAnswer.NotRun) {
            mToldNotRun.add(operation);
            if (ran != null) {
                throw new AssertionError("Told NOT_RUN after it ran: " + operation.key());
            }
        }
        if (answer instanceof OperationAnswer.Result told) {
            // The status is unique to each run here.
            if (ran == null || ran.status() != told.result().status()) {
                throw new AssertionError("Told another result than the run's: " + operation.key());
            }
        }
    }

    boolean hasRun(Operation operation) {
        return mRan.containsKey(operation);
    }

    int runs() {
        return mRan.size();
    }
}
