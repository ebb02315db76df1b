package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * What a home knows of one operation.
 *
 * @param digest digest of the request's content; empty if only the outcome was asked for
 * @param deadlineMillis when the request is no longer worth starting, by the home's clock
 * @param attempt number of the last dispatch; 0 before the first
 * @param state how far the operation has come
 * @param result the result; only with {@link State#RAN}
 * @param reason the proof; only with {@link State#NOT_RUN}
 */
record HomeRecord(
        String digest,
        long deadlineMillis,
        int attempt,
        State state,
        Optional<RecordedResult> result,
        Optional<NotRunReason> reason) {

    /** How far an operation has come at its home. */
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

    HomeRecord withResult(RecordedResult kept) {
        return new HomeRecord(
                digest, deadlineMillis, attempt, State.RAN, Optional.of(kept), Optional.empty());
    }

    HomeRecord withNotRun(NotRunReason why) {
        return new HomeRecord(
                digest, deadlineMillis, attempt, State.NOT_RUN, Optional.empty(), Optional.of(why));
    }

    /** Tells whether the given attempt is the last one and its end is still open. */
    boolean isOpenAttempt(int endedAttempt) {
        boolean open = state == State.DISPATCHED || state == State.RESPONSE_LOST;
        return open && attempt == endedAttempt;
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
