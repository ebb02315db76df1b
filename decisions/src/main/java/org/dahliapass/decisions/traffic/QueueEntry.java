package org.dahliapass.decisions.traffic;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * A request for a slot. Entries are compared by identity.
 *
 * @param <T> the caller's handle for the request
 */
public final class QueueEntry<T> {
    private final T mRequest;
    private final String mCustomer;
    private final RequestKind mKind;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private final Set<Endpoint> mExcluded;
    private final int mPriority;
    private final long mLatestStartMillis;

    /** Creates an entry of the highest priority. */
    public QueueEntry(
            T request,
            String customer,
            RequestKind kind,
            long arrivedMillis,
            long deadlineMillis,
            Set<Endpoint> excluded) {
        this(request, customer, kind, arrivedMillis, deadlineMillis, excluded, 0);
    }

    /**
     * Creates an entry.
     *
     * @param request the caller's handle for the request
     * @param customer the customer that sent it
     * @param kind its kind
     * @param arrivedMillis when it arrived, in milliseconds
     * @param deadlineMillis its deadline, in milliseconds
     * @param excluded targets that must not get it
     * @param priority its priority; 0 is the highest
     */
    public QueueEntry(
            T request,
            String customer,
            RequestKind kind,
            long arrivedMillis,
            long deadlineMillis,
            Set<Endpoint> excluded,
            int priority) {
        this(
                request,
                customer,
                kind,
                arrivedMillis,
                deadlineMillis,
                excluded,
                priority,
                Math.min(arrivedMillis + kind.patience().toMillis(), deadlineMillis));
    }

    private QueueEntry(
            T request,
            String customer,
            RequestKind kind,
            long arrivedMillis,
            long deadlineMillis,
            Set<Endpoint> excluded,
            int priority,
            long latestStartMillis) {
        mRequest = request;
        mCustomer = customer;
        mKind = kind;
        mArrivedMillis = arrivedMillis;
        mDeadlineMillis = deadlineMillis;
        mExcluded = Set.copyOf(excluded);
        mPriority = priority;
        mLatestStartMillis = latestStartMillis;
    }

    /** Returns this entry with another latest start, which is at most its deadline. */
    public QueueEntry<T> withLatestStart(long latestStartMillis) {
        return new QueueEntry<>(
                mRequest,
                mCustomer,
                mKind,
                mArrivedMillis,
                mDeadlineMillis,
                mExcluded,
                mPriority,
                Math.min(latestStartMillis, mDeadlineMillis));
    }

    /** Returns the caller's handle for the request. */
    public T request() {
        return mRequest;
    }

    /** Returns the customer that sent the request. */
    public String customer() {
        return mCustomer;
    }

    /** Returns the request's kind. */
    public RequestKind kind() {
        return mKind;
    }

    /** Returns when the request arrived, in milliseconds. */
    public long arrivedMillis() {
        return mArrivedMillis;
    }

    /** Returns the request's deadline, in milliseconds. */
    public long deadlineMillis() {
        return mDeadlineMillis;
    }

    /** Returns the targets that must not get the request. */
    public Set<Endpoint> excluded() {
        return mExcluded;
    }

    /** Returns the request's priority; 0 is the highest. */
    public int priority() {
        return mPriority;
    }

    /**
     * Returns the time after which the request must not be started, in milliseconds: by default the
     * end of its patience or its deadline.
     */
    public long latestStartMillis() {
        return mLatestStartMillis;
    }
}
