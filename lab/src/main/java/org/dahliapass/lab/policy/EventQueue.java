package org.dahliapass.lab.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A discrete-event queue with a virtual clock. Not thread-safe. */
final class EventQueue {
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::atMicros).thenComparingLong(Entry::sequence));
    private long mNowMicros;
    private long mSequence;

    long nowMicros() {
        return mNowMicros;
    }

    long nowMillis() {
        return mNowMicros / 1_000;
    }

    void schedule(long micros, Runnable action) {
        mSequence++;
        mEntries.add(new Entry(mNowMicros + micros, mSequence, action));
    }

    void runUntil(long endMicros) {
        while (!mEntries.isEmpty() && mEntries.peek().atMicros() <= endMicros) {
            Entry entry = mEntries.remove();
            mNowMicros = entry.atMicros();
            entry.action().run();
        }
    }

    private record Entry(long atMicros, long sequence, Runnable action) {}
}
