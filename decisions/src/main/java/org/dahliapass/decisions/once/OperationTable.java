package org.dahliapass.decisions.once;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Keeps one record per operation within bounds, and drops a record only when its key has expired.
 *
 * @param <R> the record kept
 */
class OperationTable<R> {

    /**
     * Estimated bytes of a record without its result: the longest key, digest and index entries.
     */
    static final int BASE_BYTES = 1_024;

    private final RetentionWindow mWindow;
    private final TableLimits mLimits;
    private final Map<Operation, R> mRecords = new HashMap<>();
    private final Map<Operation, Long> mResultBytes = new HashMap<>();
    private final PriorityQueue<Operation> mOldestFirst =
            new PriorityQueue<>(
                    Comparator.comparingLong(operation -> operation.key().issuedMillis()));
    private long mBytes;
    private long mNowMillis = Long.MIN_VALUE;

    OperationTable(RetentionWindow window, TableLimits limits) {
        mWindow = window;
        mLimits = limits;
    }

    /** Takes the time in and drops what has expired; time never goes back for the table. */
    void advance(long nowMillis) {
        // A clock that went back would take a key again whose record is gone, and run it twice.
        mNowMillis = Math.max(mNowMillis, nowMillis);
        while (!mOldestFirst.isEmpty() && canEvict(mOldestFirst.peek(), mNowMillis)) {
            drop(mOldestFirst.poll());
        }
    }

    /** Returns why the key isn't taken at the table's time; empty if it is. */
    Optional<UnknownReason> refusal(OperationKey key) {
        return mWindow.refusal(key.issuedMillis(), mNowMillis);
    }

    Optional<R> find(Operation operation) {
        return Optional.ofNullable(mRecords.get(operation));
    }

    /** Adds a record that leads to a run; false, with nothing changed, if there is no room. */
    boolean add(Operation operation, R record) {
        return add(operation, record, mLimits.maxRecords() - mLimits.reservedRefusals());
    }

    /** Adds a record that forbids a run; false, with nothing changed, if there is no room. */
    boolean addRefusal(Operation operation, R record) {
        return add(operation, record, mLimits.maxRecords());
    }

    /** Replaces the record of an operation that is in the table. */
    void replace(Operation operation, R record) {
        mRecords.replace(operation, record);
    }

    /** Returns as much of a result as there is room for, and takes that room. */
    RecordedResult fitResult(Operation operation, RecordedResult result) {
        boolean bodyIsLong =
                result.body().map(RecordedBody::length).orElse(0) > mLimits.maxBodyBytes();
        if (!bodyIsLong && takeBytes(operation, result)) {
            return result;
        }
        if (takeBytes(operation, result.withoutBody())) {
            return result.withoutBody();
        }
        return result.statusOnly();
    }

    int size() {
        return mRecords.size();
    }

    long bytes() {
        return mBytes;
    }

    /** Guards against a repeated key that finds no record and runs again. */
    boolean canEvict(Operation operation, long nowMillis) {
        return mWindow.isExpired(operation.key().issuedMillis(), nowMillis);
    }

    /** Guards against room made by dropping a live record, whose key would then run again. */
    boolean hasCapacity(int maxRecords) {
        return mRecords.size() < maxRecords && mBytes + BASE_BYTES <= mLimits.maxBytes();
    }

    /** Removes the oldest record, expired or not. */
    final void evictOldest() {
        if (!mOldestFirst.isEmpty()) {
            drop(mOldestFirst.poll());
        }
    }

    private boolean add(Operation operation, R record, int maxRecords) {
        if (mRecords.containsKey(operation) || !hasCapacity(maxRecords)) {
            return false;
        }
        mRecords.put(operation, record);
        mOldestFirst.add(operation);
        mBytes += BASE_BYTES;
        return true;
    }

    private boolean takeBytes(Operation operation, RecordedResult result) {
        long bytes = result.bytes();
        if (mBytes + bytes > mLimits.maxBytes() || mResultBytes.containsKey(operation)) {
            return false;
        }
        mResultBytes.put(operation, bytes);
        mBytes += bytes;
        return true;
    }

    private void drop(Operation operation) {
        mRecords.remove(operation);
        Long resultBytes = mResultBytes.remove(operation);
        mBytes -= BASE_BYTES + (resultBytes == null ? 0 : resultBytes);
    }
}
