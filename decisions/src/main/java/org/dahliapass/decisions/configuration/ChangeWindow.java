package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;

/** A bounded window of the newest changes without gaps, and the changes received beyond a gap. */
final class ChangeWindow {
    private final int mCapacity;
    private final TreeMap<Long, ChangeRecord> mContiguous = new TreeMap<>();
    private final TreeMap<Long, ChangeRecord> mBeyondGap = new TreeMap<>();
    private long mThrough;

    ChangeWindow(int capacity) {
        mCapacity = capacity;
    }

    /** Returns the highest number up to which all changes are known. */
    long through() {
        return mThrough;
    }

    /** Returns the lowest number of the contiguous changes. */
    long first() {
        return mContiguous.isEmpty() ? mThrough + 1 : mContiguous.firstKey();
    }

    /** Returns the contiguous changes with higher numbers. */
    List<ChangeRecord> since(long number) {
        return List.copyOf(mContiguous.tailMap(number, false).values());
    }

    /** Returns all changes by ascending number. */
    List<ChangeRecord> all() {
        List<ChangeRecord> all = new ArrayList<>(mContiguous.values());
        all.addAll(mBeyondGap.values());
        return all;
    }

    /** Returns whether the window contains a newer change of the same customer. */
    boolean hasNewer(ChangeRecord record) {
        return Stream.concat(mContiguous.values().stream(), mBeyondGap.values().stream())
                .anyMatch(
                        other ->
                                other.number() > record.number()
                                        && other.customer().equals(record.customer()));
    }

    /** Adds a change; returns whether it was new. */
    boolean add(ChangeRecord record) {
        if (record.number() <= mThrough
                || mBeyondGap.putIfAbsent(record.number(), record) != null) {
            return false;
        }
        advance();
        return true;
    }

    /** Drops all changes before a number and starts the window there. */
    void resetTo(long first) {
        mContiguous.clear();
        mThrough = first - 1;
        mBeyondGap.headMap(first).clear();
        advance();
    }

    private void advance() {
        while (!mBeyondGap.isEmpty() && mBeyondGap.firstKey() == mThrough + 1) {
            mThrough++;
            mContiguous.put(mThrough, mBeyondGap.pollFirstEntry().getValue());
        }
        while (mContiguous.size() > mCapacity) {
            mContiguous.pollFirstEntry();
        }
        while (mBeyondGap.size() > mCapacity) {
            mBeyondGap.pollLastEntry();
        }
    }
}
