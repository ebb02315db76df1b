package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The newest changes without gaps, and those beyond a gap that arrived ahead of their turn. */
final class ChangeWindow {
    private final int mCapacity;
    private final TreeMap<Long, ChangeRecord> mRecords = new TreeMap<>();
    private final TreeMap<Long, ChangeRecord> mAhead = new TreeMap<>();
    private long mThrough;

    ChangeWindow(int capacity) {
        mCapacity = capacity;
    }

    /** Returns the newest number up to which there is no gap. */
    long through() {
        return mThrough;
    }

    /** Returns the lowest number from which on there is no gap. */
    long first() {
        return mRecords.isEmpty() ? mThrough + 1 : mRecords.firstKey();
    }

    /** Returns the changes without gaps that are newer than a number. */
    List<ChangeRecord> since(long number) {
        return List.copyOf(mRecords.tailMap(number, false).values());
    }

    /** Returns all changes, those beyond a gap last. */
    List<ChangeRecord> all() {
        List<ChangeRecord> all = new ArrayList<>(mRecords.values());
        all.addAll(mAhead.values());
        return all;
    }

    /** Returns whether a newer change of the same customer is here. */
    boolean hasNewer(ChangeRecord record) {
        return Stream.concat(mRecords.values().stream(), mAhead.values().stream())
                .anyMatch(
                        other ->
                                other.number() > record.number()
                                        && other.customer().equals(record.customer()));
    }

    /** Adds a change; returns whether it was news. */
    boolean add(ChangeRecord record) {
        if (record.number() <= mThrough || mAhead.putIfAbsent(record.number(), record) != null) {
            return false;
        }
        close();
        return true;
    }

    /** Gives up on everything before a number: the window begins there. */
    void resetTo(long first) {
        mRecords.clear();
        mThrough = first - 1;
        mAhead.headMap(first).clear();
        close();
    }

    private void close() {
        while (!mAhead.isEmpty() && mAhead.firstKey() == mThrough + 1) {
            mThrough++;
            mRecords.put(mThrough, mAhead.pollFirstEntry().getValue());
        }
        while (mRecords.size() > mCapacity) {
            mRecords.pollFirstEntry();
        }
        while (mAhead.size() > mCapacity) {
            mAhead.pollLastEntry();
        }
    }
}
