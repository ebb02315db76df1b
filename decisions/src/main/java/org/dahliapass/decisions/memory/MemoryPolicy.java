package org.dahliapass.decisions.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Decides which requests a VM accepts while it is short of memory, and which slow readers it
 * closes.
 *
 * <p>The steps refuse large bodies of the least urgent requests first, so that urgent requests,
 * most of which have small bodies, are served until the end. Not thread-safe; confined to the
 * traffic thread.
 */
public final class MemoryPolicy {
    /** The level from which large bodies of the lowest priority are refused. */
    static final double LARGE_BODY_LEVEL = 0.7;

    /** The level from which every body is refused. */
    static final double BODY_LEVEL = 0.85;

    /** The level from which every request is refused, and which no body may exceed. */
    static final double REQUEST_LEVEL = 0.95;

    /** The size of a large body, in bytes. */
    static final long LARGE_BODY_BYTES = 64 * 1024;

    /** The time for which the priority of a request counts as in use, in milliseconds. */
    private static final long PRIORITY_MILLIS = 1_000;

    /** The time without enough progress after which a reader is slow, in milliseconds. */
    private static final long SLOW_READER_MILLIS = 5_000;

    /** The largest share of the limit that one response may hold. */
    private static final double MAX_RESPONSE_SHARE = 1.0 / 8;

    /** The maximum size of a response that is buffered until it is complete, in bytes. */
    private static final long MAX_BUFFERED_BYTES = 2 * 1024 * 1024;

    /**
     * The largest share of the limit that a response may hold until it is streamed instead. A
     * buffer that grows doubles its size, so it stays within {@link #MAX_RESPONSE_SHARE}.
     */
    private static final double MAX_BUFFERED_SHARE = MAX_RESPONSE_SHARE / 2;

    private final MemoryAccount mAccount;

    /** When a request of each priority last arrived; as many entries as priorities in use. */
    private final TreeMap<Integer, Long> mLastArrivals = new TreeMap<>();

    /**
     * A response that is being written.
     *
     * @param heldBytes the bytes that it holds
     * @param unreadMillis the time for which its caller has read too little, in milliseconds
     * @param handle the caller's handle of the response
     * @param <T> the type of the handle
     */
    public record Reader<T>(long heldBytes, long unreadMillis, T handle) {}

    /** Creates a policy for an account. */
    public MemoryPolicy(MemoryAccount account) {
        mAccount = account;
    }

    /**
     * Decides whether a request is accepted, before its body is read.
     *
     * @param priority the priority of the request; 0 is the highest
     * @param bodyBytes the maximum size of its body, in bytes; 0 for none
     * @param nowMillis the time, in milliseconds
     */
    public boolean accepts(int priority, long bodyBytes, long nowMillis) {
        if (!mAccount.isLimited()) {
            return true;
        }
        mLastArrivals.put(priority, nowMillis);
        mLastArrivals.values().removeIf(last -> nowMillis - last > PRIORITY_MILLIS);
        double level = mAccount.level();
        if (level >= REQUEST_LEVEL || exceedsLimit(bodyBytes)) {
            return false;
        }
        if (level >= BODY_LEVEL && bodyBytes > 0 && !isHighest(priority)) {
            return false;
        }
        return level < LARGE_BODY_LEVEL || bodyBytes <= LARGE_BODY_BYTES || !isLowest(priority);
    }

    private boolean exceedsLimit(long bodyBytes) {
        return mAccount.heldBytes() + bodyBytes > mAccount.limitBytes() * REQUEST_LEVEL;
    }

    private boolean isHighest(int priority) {
        return priority <= mLastArrivals.firstKey();
    }

    /** Returns whether no less urgent request arrived lately. */
    private boolean isLowest(int priority) {
        return priority >= mLastArrivals.lastKey();
    }

    /**
     * Returns whether a response holds more than one response may. A failure of a target is never
     * streamed, so a response of the buffered size is allowed whatever the limit is.
     */
    public boolean isTooLarge(long responseBytes) {
        return mAccount.isLimited()
                && responseBytes > MAX_BUFFERED_BYTES
                && responseBytes > mAccount.limitBytes() * MAX_RESPONSE_SHARE;
    }

    /** Returns the size from which a response is streamed and no longer buffered, in bytes. */
    public int maxBufferedBytes() {
        return (int) Math.min(MAX_BUFFERED_BYTES, mAccount.limitBytes() * MAX_BUFFERED_SHARE);
    }

    /** Returns whether readers need to be checked, because they may be closed. */
    public boolean isShort() {
        return mAccount.level() >= LARGE_BODY_LEVEL;
    }

    /**
     * Returns the responses to close: those that are too large, and, while memory is short, those
     * whose callers don't read, the largest first and no more than needed.
     */
    public <T> List<Reader<T>> slowReaders(List<Reader<T>> readers) {
        List<Reader<T>> closed = new ArrayList<>();
        double remaining = mAccount.heldBytes();
        List<Reader<T>> largestFirst =
                readers.stream()
                        .sorted(Comparator.comparingLong(Reader<T>::heldBytes).reversed())
                        .toList();
        for (Reader<T> reader : largestFirst) {
            boolean isSlow =
                    reader.unreadMillis() >= SLOW_READER_MILLIS
                            && mAccount.isLimited()
                            && remaining >= mAccount.limitBytes() * LARGE_BODY_LEVEL;
            if (isSlow || isTooLarge(reader.heldBytes())) {
                closed.add(reader);
                remaining -= reader.heldBytes();
            }
        }
        return closed;
    }
}
