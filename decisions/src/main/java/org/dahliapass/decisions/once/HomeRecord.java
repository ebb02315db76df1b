package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * The record of one operation at its home.
 *
 * @param digest digest of the request's content; empty if only the outcome was queried
 * @param deadlineMillis time after which the request is not dispatched, by the home's clock
 * @param attempt number of the last dispatch; 0 before the first
 * @param result the result; only with {@link State#RAN}
 * @param reason why it did not run; only with {@link State#NOT_RUN}
 */
record HomeRecord(
        String digest,
        long deadlineMillis,
        int attempt,
        State state,
        Optional<RecordedResult> result,
        Optional<NotRunReason> reason) {

    /** The progress of an operation at its home. */
    enum State {
        AWAITING_WITNESS,
        DISPATCHED,
        RESPONSE_LOST,
        RAN,
        NOT_RUN
    }

    static HomeRecord awaitingWitness(String digest, long deadlineMillis) {
        return new HomeRecord(
                digest,
                deadlineMillis,
                0,
                State.AWAITING_WITNESS,
                Optional.empty(),
                Optional.empty());
    }

    static HomeRecord tombstone(String digest, NotRunReason reason) {
        return new HomeRecord(digest, 0, 0, State.NOT_RUN, Optional.empty(), Optional.of(reason));
    }

    HomeRecord withNextAttempt() {
        return new HomeRecord(
                digest, deadlineMillis, attempt + 1, State.DISPATCHED, result, reason);
    }

    HomeRecord withResponseLost() {
        return new HomeRecord(digest, deadlineMillis, attempt, State.RESPONSE_LOST, result, reason);
    }

    HomeRecord withResult(RecordedResult recorded) {
        return new HomeRecord(
                digest,
                deadlineMillis,
                attempt,
                State.RAN,
                Optional.of(recorded),
                Optional.empty());
    }

    HomeRecord withNotRun(NotRunReason newReason) {
        return new HomeRecord(
                digest,
                deadlineMillis,
                attempt,
                State.NOT_RUN,
                Optional.empty(),
                Optional.of(newReason));
    }

    /** Returns whether the attempt is the last one and its outcome is still open. */
    boolean isOpenAttempt(int reportedAttempt) {
        boolean open = state == State.DISPATCHED || state == State.RESPONSE_LOST;
        return open && attempt == reportedAttempt;
    }

    OperationAnswer answer() {
        return switch (state) {
            case AWAITING_WITNESS, DISPATCHED -> new OperationAnswer.InProgress();
            case RESPONSE_LOST -> new OperationAnswer.Unknown(UnknownReason.MAY_HAVE_RUN);
            case RAN -> new OperationAnswer.Result(result.orElseThrow());
            case NOT_RUN -> new OperationAnswer.NotRun(reason.orElseThrow());
        };
    }
}
