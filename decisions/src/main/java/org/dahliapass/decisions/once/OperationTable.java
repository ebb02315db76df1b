package org.dahliapass.decisions.once;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A bounded table with one record per operation; a record is evicted only when its key has expired.
 *
 * @param <R> the type of a record
 */
class OperationTable<R> {

    /** Estimated bytes of a record without its result, for the longest key and digest. */
    static final int BASE_BYTES = 1_024;

    private final RetentionWindow mWindow;
    private final TableLimits mLimits;
    private final Map<Operation, R> mRecords = new HashMap<>();
    private final Map<Operation, Long> mResultBytes = new HashMap<>();
    private final PriorityQueue<Operation> mByAge =
            new PriorityQueue<>(
                    Comparator.comparingLong(operation -> operation.key().issuedMillis()));
    private long mBytes;
    private long mNowMillis = Long.MIN_VALUE;

    OperationTable(RetentionWindow window, TableLimits limits) {
        mWindow = window;
        mLimits = limits;
    }

    /** Advances the table's time, which never goes back, and evicts expired records. */
    void advance(long nowMillis) {
        // If the clock went back, a key whose record was evicted would be accepted and run again.
        mNowMillis = Math.max(mNowMillis, nowMillis);
        while (!mByAge.isEmpty() && canEvict(mByAge.peek(), mNowMillis)) {
            remove(mByAge.poll());
        }
    }

    /** Returns why the key is refused at the table's time; empty if it is accepted. */
    Optional<UnknownReason> refusal(OperationKey key) {
        return mWindow.refusal(key.issuedMillis(), mNowMillis);
    }

    Optional<R> find(Operation operation) {
        return Optional.ofNullable(mRecords.get(operation));
    }

    /**
     * Adds a record of an operation to run; returns false and changes nothing if the table is full.
     */
    boolean add(Operation operation, R record) {
        return add(operation, record, mLimits.maxRecords() - mLimits.reservedRefusals());
    }

    /** Adds a record that forbids a run; returns false and changes nothing if the table is full. */
    boolean addRefusal(Operation operation, R record) {
        return add(operation, record, mLimits.maxRecords());
    }

    /** Replaces the record of an operation that is in the table. */
    void replace(Operation operation, R record) {
        mRecords.replace(operation, record);
    }

    /** Returns as much of a result as the limits allow, and counts its bytes. */
    RecordedResult fitResult(Operation operation, RecordedResult result) {
        boolean bodyIsLong =
                result.body().map(RecordedBody::length).orElse(0) > mLimits.maxBodyBytes();
        if (!bodyIsLong && reserveBytes(operation, result)) {
            return result;
        }
        if (reserveBytes(operation, result.withoutBody())) {
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

    /** Returns whether a record can be evicted: its key has expired, so a repeat is refused. */
    boolean canEvict(Operation operation, long nowMillis) {
        return mWindow.isExpired(operation.key().issuedMillis(), nowMillis);
    }

    /**
     * Returns whether there is capacity for another record; live records are never evicted for it.
     */
    boolean hasCapacity(int maxRecords) {
        return mRecords.size() < maxRecords && mBytes + BASE_BYTES <= mLimits.maxBytes();
    }

    /** Evicts the oldest record, expired or not. */
    final void evictOldest() {
        if (!mByAge.isEmpty()) {
            remove(mByAge.poll());
        }
    }

    private boolean add(Operation operation, R record, int maxRecords) {
        if (mRecords.containsKey(operation) || !hasCapacity(maxRecords)) {
            return false;
        }
        mRecords.put(operation, record);
        mByAge.add(operation);
        mBytes += BASE_BYTES;
        return true;
    }

    private boolean reserveBytes(Operation operation, RecordedResult result) {
        long bytes = result.bytes();
        if (mBytes + bytes > mLimits.maxBytes() || mResultBytes.containsKey(operation)) {
            return false;
        }
        mResultBytes.put(operation, bytes);
        mBytes += bytes;
        return true;
    }

    private void remove(Operation operation) {
        mRecords.remove(operation);
        Long resultBytes = mResultBytes.remove(operation);
        mBytes -= BASE_BYTES + (resultBytes == null ? 0 : resultBytes);
    }
}
