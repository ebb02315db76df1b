package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/** The lanes of a queue, first served first; each gets at least its weight's share of the slots. */
enum QueueLane {
    /** Requests that run at most once: few, and the costliest to refuse. */
    GUARDED(4),
    /** Short idempotent requests. */
    SHORT(3),
    /** Requests with large answers. */
    BULKY(1);

    private final int mWeight;

    QueueLane(int weight) {
        mWeight = weight;
    }

    /** Returns the lane of a kind. */
    static QueueLane of(RequestKind kind) {
        if (kind.bulky()) {
            return BULKY;
        }
        return kind.idempotency() == Idempotency.AT_MOST_ONCE ? GUARDED : SHORT;
    }

    /** Returns the lane's share of dispatches against the other lanes that have entries. */
    int weight() {
        return mWeight;
    }
}
