package org.dahliapass.decisions.once;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Compares the runs at targets with the answers to callers; fails at the first contradiction. */
final class OnceOracle {

    private final Map<Operation, RecordedResult> mRan = new HashMap<>();
    private final Set<Operation> mAnsweredNotRun = new HashSet<>();

    /** Records that a target ran an operation, possibly long after its sender stopped. */
    void ran(Operation operation, RecordedResult result) {
        if (mRan.put(operation, result) != null) {
            throw new AssertionError("Ran twice: " + operation.key());
        }
        if (mAnsweredNotRun.contains(operation)) {
            throw new AssertionError("Ran after the answer NOT_RUN: " + operation.key());
        }
    }

    /** Records an answer to a caller. */
    void answered(Operation operation, OperationAnswer answer) {
        RecordedResult ran = mRan.get(operation);
        if (answer instanceof OperationAnswer.NotRun) {
            mAnsweredNotRun.add(operation);
            if (ran != null) {
                throw new AssertionError("Answered NOT_RUN after it ran: " + operation.key());
            }
        }
        if (answer instanceof OperationAnswer.Result answeredResult) {
            // Each run has a unique status.
            if (ran == null || ran.status() != answeredResult.result().status()) {
                throw new AssertionError(
                        "Answered with a result that differs from the run's: " + operation.key());
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
