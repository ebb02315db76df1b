package org.dahliapass.lab.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.dahliapass.kernel.ManualClock;

/** A discrete-event scheduler on a virtual clock. Not thread-safe. */
final class EventScheduler {
    private static final Instant START = Instant.ofEpochSecond(1_000_000);

    private final ManualClock mClock = new ManualClock(START);
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::sequence));
    private long mSequence;

    private record Entry(long atMillis, long sequence, Runnable action) {}

    /** Returns the virtual clock. */
    ManualClock clock() {
        return mClock;
    }

    long nowMillis() {
        return mClock.millis();
    }

    /** Returns the milliseconds since the start of the simulation. */
    long elapsedMillis() {
        return nowMillis() - START.toEpochMilli();
    }

    void schedule(long millis, Runnable action) {
        mEntries.add(new Entry(nowMillis() + Math.max(0, millis), mSequence++, action));
    }

    void schedulePeriodically(long millis, Runnable action) {
        schedule(
                millis,
                () -> {
                    action.run();
                    schedulePeriodically(millis, action);
                });
    }

    /** Runs all actions that are due within the given time from the start. */
    void runFor(Duration length) {
        long endMillis = START.toEpochMilli() + length.toMillis();
        while (!mEntries.isEmpty() && mEntries.peek().atMillis() <= endMillis) {
            Entry entry = mEntries.remove();
            mClock.advance(Duration.ofMillis(entry.atMillis() - nowMillis()));
            entry.action().run();
        }
    }
}
