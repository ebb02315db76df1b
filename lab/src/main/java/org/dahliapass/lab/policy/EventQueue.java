package org.dahliapass.lab.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A discrete-event queue with a virtual clock. Not thread-safe. */
public final class EventQueue {
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::atMicros).thenComparingLong(Entry::sequence));
    private long mNowMicros;
    private long mSequence;

    /** Returns the current virtual time, in microseconds. */
    public long nowMicros() {
        return mNowMicros;
    }

    /** Returns the current virtual time, in milliseconds. */
    public long nowMillis() {
        return mNowMicros / 1_000;
    }

    /** Schedules an action after a delay in microseconds. */
    public void schedule(long micros, Runnable action) {
        mSequence++;
        mEntries.add(new Entry(mNowMicros + micros, mSequence, action));
    }

    /** Runs all actions up to a time, in microseconds. */
    public void runUntil(long endMicros) {
        while (!mEntries.isEmpty() && mEntries.peek().atMicros() <= endMicros) {
            Entry entry = mEntries.remove();
            mNowMicros = entry.atMicros();
            entry.action().run();
        }
    }

    private record Entry(long atMicros, long sequence, Runnable action) {}
}
