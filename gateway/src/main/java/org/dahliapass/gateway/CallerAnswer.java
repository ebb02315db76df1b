package org.dahliapass.gateway;

import org.dahliapass.http.Answer;
import org.dahliapass.http.ServerCall;

/** An answer that can be given to a caller once; used on the traffic thread only. */
interface CallerAnswer {
    /** Gives it. */
    void give(ServerCall call);

    /** Lets go of an answer that nobody gets. */
    void drop();

    /** Returns an answer that is whole. */
    static CallerAnswer whole(Answer answer) {
        return new Whole(answer);
    }

    /**
     * An answer that is whole.
     *
     * @param answer the answer
     */
    record Whole(Answer answer) implements CallerAnswer {
        @Override
        public void give(ServerCall call) {
            call.answer(answer);
        }

        @Override
        public void drop() {}
    }
}
