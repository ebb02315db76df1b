package org.dahliapass.lab.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.dahliapass.kernel.ManualClock;

/** A virtual clock that runs what is due in the order of its time. */
final class EventScheduler {
    private static final Instant START = Instant.ofEpochSecond(1_000_000);

    private final ManualClock mClock = new ManualClock(START);
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::sequence));
    private long mSequence;

    private record Entry(long atMillis, long sequence, Runnable action) {}

    /** Returns the clock, for the decisions under test. */
    ManualClock clock() {
        return mClock;
    }

    long nowMillis() {
        return mClock.millis();
    }

    /** Returns the milliseconds since the start. */
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

    /** Runs all that is due within a time from the start. */
    void runFor(Duration length) {
        long end = START.toEpochMilli() + length.toMillis();
        while (!mEntries.isEmpty() && mEntries.peek().atMillis() <= end) {
            Entry entry = mEntries.remove();
            mClock.advance(Duration.ofMillis(entry.atMillis() - nowMillis()));
            entry.action().run();
        }
    }
}
