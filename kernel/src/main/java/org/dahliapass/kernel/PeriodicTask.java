package org.dahliapass.kernel;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * A task on the control thread that repeats only while it has work.
 *
 * <p>Avoids timer wake-ups on idle VMs, which are the majority in a large fleet. A task that throws
 * runs again, since it may have work.
 */
public final class PeriodicTask {
    /** The minimum delay after a run that threw, so that a defect doesn't occupy the thread. */
    private static final Duration MIN_DELAY_AFTER_FAILURE = Duration.ofMillis(250);

    private final ControlLoop mLoop;
    private final Duration mDelay;
    private final Supplier<Optional<Duration>> mTask;
    private final AtomicBoolean mScheduled = new AtomicBoolean();

    /**
     * Creates an idle task.
     *
     * @param loop the loop on which the task runs
     * @param delay the delay from {@link #wake()} to the run
     * @param task runs once and returns the delay until its next run; empty to become idle
     */
    public PeriodicTask(ControlLoop loop, Duration delay, Supplier<Optional<Duration>> task) {
        mLoop = loop;
        mDelay = delay;
        mTask = task;
    }

    /** Schedules a run unless one is scheduled. Thread-safe; may also be called during a run. */
    public void wake() {
        schedule(mDelay);
    }

    private void schedule(Duration delay) {
        if (mScheduled.compareAndSet(false, true)) {
            mLoop.schedule(delay, this::run);
        }
    }

    private void run() {
        // Reset first, so that a wake-up during the run is not lost.
        mScheduled.set(false);
        boolean isDone = false;
        try {
            Optional<Duration> next = mTask.get();
            isDone = true;
            next.ifPresent(this::schedule);
        } finally {
            if (!isDone) {
                schedule(delayAfterFailure());
            }
        }
    }

    /** Returns the delay after a run that threw, and so has not told whether there is work. */
    private Duration delayAfterFailure() {
        return mDelay.compareTo(MIN_DELAY_AFTER_FAILURE) > 0 ? mDelay : MIN_DELAY_AFTER_FAILURE;
    }
}
