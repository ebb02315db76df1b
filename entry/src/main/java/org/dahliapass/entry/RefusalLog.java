package org.dahliapass.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Keeps the newest refusals, so that one that a caller holds can be looked up by its id. */
final class RefusalLog {
    private static final int CAPACITY = 2000;

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    /**
     * One refusal that was given.
     *
     * @param atMillis when
     * @param requestId the request's id
     * @param customer the customer that asked
     * @param refusal the answer it got
     */
    record Entry(long atMillis, String requestId, String customer, Refusal refusal) {}

    /** Keeps a refusal and forgets the oldest one beyond the capacity. */
    synchronized void add(long atMillis, String requestId, String customer, Refusal refusal) {
        mEntries.addLast(new Entry(atMillis, requestId, customer, refusal));
        if (mEntries.size() > CAPACITY) {
            mEntries.removeFirst();
        }
    }

    /** Finds the refusal of a request if it is still kept. */
    synchronized Optional<Entry> find(String requestId) {
        return mEntries.stream().filter(entry -> entry.requestId().equals(requestId)).findFirst();
    }
}
