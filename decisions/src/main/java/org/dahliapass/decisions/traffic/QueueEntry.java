package org.dahliapass.decisions.traffic;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * A request that asks for a slot. Each entry is one offer: compared by identity.
 *
 * @param <T> what the caller needs to go on with the request
 */
public final class QueueEntry<T> {
    private final T mRequest;
    private final String mCustomer;
    private final RequestKind mKind;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private final Set<Endpoint> mExcluded;

    /**
     * Describes a request.
     *
     * @param request what the caller needs to go on with it
     * @param customer the customer that sent it
     * @param kind its kind
     * @param arrivedMillis when it arrived, in milliseconds
     * @param deadlineMillis when its answer is of no more use, in milliseconds
     * @param excluded targets that must not get it
     */
    public QueueEntry(
            T request,
            String customer,
            RequestKind kind,
            long arrivedMillis,
            long deadlineMillis,
            Set<Endpoint> excluded) {
        mRequest = request;
        mCustomer = customer;
        mKind = kind;
        mArrivedMillis = arrivedMillis;
        mDeadlineMillis = deadlineMillis;
        mExcluded = Set.copyOf(excluded);
    }

    /** Returns what the caller needs to go on with the request. */
    public T request() {
        return mRequest;
    }

    /** Returns the customer that sent it. */
    public String customer() {
        return mCustomer;
    }

    /** Returns its kind. */
    public RequestKind kind() {
        return mKind;
    }

    /** Returns when it arrived, in milliseconds. */
    public long arrivedMillis() {
        return mArrivedMillis;
    }

    /** Returns when its answer is of no more use, in milliseconds. */
    public long deadlineMillis() {
        return mDeadlineMillis;
    }

    /** Returns the targets that must not get it. */
    public Set<Endpoint> excluded() {
        return mExcluded;
    }

    /** Returns the time from which it must not be started any more: patience or deadline over. */
    public long latestStartMillis() {
        return Math.min(mArrivedMillis + mKind.patience().toMillis(), mDeadlineMillis);
    }
}
