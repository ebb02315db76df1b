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
        ASKING_WITNESS,
        DISPATCHED,
        LOST_TOUCH,
        RAN,
        NOT_RUN
    }

    static HomeRecord asking(String digest, long deadlineMillis) {
        return new HomeRecord(
                digest,
                deadlineMillis,
                0,
                State.ASKING_WITNESS,
                Optional.empty(),
                Optional.empty());
    }

    static HomeRecord tombstone(String digest, NotRunReason reason) {
        return new HomeRecord(digest, 0, 0, State.NOT_RUN, Optional.empty(), Optional.of(reason));
    }

    HomeRecord dispatchedAgain() {
        return new HomeRecord(
                digest, deadlineMillis, attempt + 1, State.DISPATCHED, result, reason);
    }

    HomeRecord lostTouch() {
        return new HomeRecord(digest, deadlineMillis, attempt, State.LOST_TOUCH, result, reason);
    }

    HomeRecord ran(RecordedResult kept) {
        return new HomeRecord(
                digest, deadlineMillis, attempt, State.RAN, Optional.of(kept), Optional.empty());
    }

    HomeRecord notRun(NotRunReason why) {
        return new HomeRecord(
                digest, deadlineMillis, attempt, State.NOT_RUN, Optional.empty(), Optional.of(why));
    }

    /** Tells whether the given attempt is the last one and its end is still open. */
    boolean awaits(int endedAttempt) {
        boolean open = state == State.DISPATCHED || state == State.LOST_TOUCH;
        return open && attempt == endedAttempt;
    }

    OperationAnswer answer() {
        return switch (state) {
            case ASKING_WITNESS, DISPATCHED -> new OperationAnswer.InProgress();
            case LOST_TOUCH -> new OperationAnswer.Unknown(UnknownReason.MAY_HAVE_RUN);
            case RAN -> new OperationAnswer.Result(result.orElseThrow());
            case NOT_RUN -> new OperationAnswer.NotRun(reason.orElseThrow());
        };
    }
}
