package org.dahliapass.kernel;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * A task on the control thread that comes again only while it has something to do.
 *
 * <p>A VM without work then sleeps: each run of a timer wakes a thread, and most VMs of a large
 * fleet have no work most of the time.
 */
public final class PeriodicTask {
    private final ControlLoop mLoop;
    private final Duration mDelay;
    private final Supplier<Optional<Duration>> mTask;
    private final AtomicBoolean mPlanned = new AtomicBoolean();

    /**
     * Creates a task that sleeps.
     *
     * @param delay from waking the task to its run
     * @param task does one round and returns when the next one is due; empty to sleep again
     */
    public PeriodicTask(ControlLoop loop, Duration delay, Supplier<Optional<Duration>> task) {
        mLoop = loop;
        mDelay = delay;
        mTask = task;
    }

    /** Plans a run unless one is planned; any thread may call this, also during a run. */
    public void wake() {
        plan(mDelay);
    }

    private void plan(Duration delay) {
        if (mPlanned.compareAndSet(false, true)) {
            mLoop.schedule(delay, this::run);
        }
    }

    private void run() {
        // Before the round: what wakes the task during the round must not be lost.
        mPlanned.set(false);
        mTask.get().ifPresent(this::plan);
    }
}
