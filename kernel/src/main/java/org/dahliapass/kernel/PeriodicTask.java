package org.dahliapass.kernel;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * A task on the control thread that repeats only while it has work.
 *
 * <p>Avoids timer wake-ups on idle VMs, which are the majority in a large fleet.
 */
public final class PeriodicTask {
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
        mTask.get().ifPresent(this::schedule);
    }
}
