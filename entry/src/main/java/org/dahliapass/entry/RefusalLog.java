package org.dahliapass.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** A bounded log of the latest refusals, for lookup by request id. */
final class RefusalLog {
    private static final int CAPACITY = 2000;

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    /**
     * A refusal that was sent to a caller.
     *
     * @param atMillis the time in milliseconds since the epoch
     * @param requestId the id of the refused request
     * @param customer the customer that sent the request
     * @param refusal the refusal sent
     */
    record Entry(long atMillis, String requestId, String customer, Refusal refusal) {}

    /** Adds a refusal and evicts the oldest one beyond the capacity. */
    synchronized void add(long atMillis, String requestId, String customer, Refusal refusal) {
        mEntries.addLast(new Entry(atMillis, requestId, customer, refusal));
        if (mEntries.size() > CAPACITY) {
            mEntries.removeFirst();
        }
    }

    /** Returns the refusal of a request, or empty if it is unknown or evicted. */
    synchronized Optional<Entry> find(String requestId) {
        return mEntries.stream().filter(entry -> entry.requestId().equals(requestId)).findFirst();
    }
}
