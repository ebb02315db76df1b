package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * The priority lanes of a queue, highest first; each gets at least its weight's share of the slots.
 */
enum QueueLane {
    /** Requests that run at most once: few, and the most expensive to refuse. */
    AT_MOST_ONCE(4),
    /** Short idempotent requests. */
    SHORT(3),
    /** Requests with large responses. */
    BULKY(1);

    private final int mWeight;

    QueueLane(int weight) {
        mWeight = weight;
    }

    /** Returns the lane of a request kind. */
    static QueueLane of(RequestKind kind) {
        if (kind.bulky()) {
            return BULKY;
        }
        return kind.idempotency() == Idempotency.AT_MOST_ONCE ? AT_MOST_ONCE : SHORT;
    }

    /** Returns the lane's share of dispatches relative to the other lanes that have entries. */
    int weight() {
        return mWeight;
    }
}
