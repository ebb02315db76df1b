package org.dahliapass.kernel;

import java.time.Clock;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The event loop whose single thread owns all control state of a process.
 *
 * <p>Traffic threads post events to it and read published snapshots; they never access the state
 * directly.
 */
public final class ControlLoop implements KernelService, Executor {
    /** The name under which the control loop is registered in the kernel. */
    public static final String NAME = "control-loop";

    private static final ComponentLog LOG = ComponentLog.of("control");

    private final Clock mClock;
    private final ScheduledThreadPoolExecutor mExecutor;
    private final Queue<Future<?>> mPeriodicTasks = new ConcurrentLinkedQueue<>();
    private volatile Consumer<Throwable> mFailureListener = failure -> {};

    /** Creates the loop; its thread starts with the first event. */
    public ControlLoop(Clock clock) {
        mClock = clock;
        mExecutor = new ScheduledThreadPoolExecutor(1, ControlLoop::newThread);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    }

    /** Sets the listener for exceptions of events; to be called before the first event. */
    public void setFailureListener(Consumer<Throwable> listener) {
        mFailureListener = listener;
    }

    /** Returns the current time in milliseconds, from the injected clock. */
    public long nowMillis() {
        return mClock.millis();
    }

    /**
     * Runs an event on the control thread, in submission order; dropped if the loop has stopped.
     */
    @Override
    public void execute(Runnable event) {
        try {
            mExecutor.execute(() -> runAndLogFailure(event));
        } catch (RejectedExecutionException stopped) {
            LOG.debug("Event dropped: the loop has stopped.");
        }
    }

    /**
     * Runs a supplier on the control thread and completes with its result.
     *
     * @return fails with the supplier's exception, or with an {@link OperationException} if the
     *     loop has stopped
     */
    public <T> CompletableFuture<T> submit(Supplier<T> supplier) {
        try {
            return CompletableFuture.supplyAsync(supplier, mExecutor);
        } catch (RejectedExecutionException stopped) {
            return CompletableFuture.failedFuture(
                    new OperationException(
                            "submit", "control loop", "The loop has stopped. Try another VM."));
        }
    }

    /** Runs an event on the control thread periodically, with a fixed delay between runs. */
    public void scheduleWithFixedDelay(Duration period, Runnable event) {
        try {
            mPeriodicTasks.add(
                    mExecutor.scheduleWithFixedDelay(
                            () -> runAndLogFailure(event),
                            period.toMillis(),
                            period.toMillis(),
                            TimeUnit.MILLISECONDS));
        } catch (RejectedExecutionException stopped) {
            LOG.debug("Periodic event dropped: the loop has stopped.");
        }
    }

    /**
     * Cancels all periodic events.
     *
     * <p>Called before services stop, so that no periodic event uses a stopping service.
     */
    public CompletableFuture<Void> cancelTimers() {
        return submit(
                () -> {
                    mPeriodicTasks.forEach(task -> task.cancel(false));
                    return null;
                });
    }

    /** Runs an event on the control thread once, after a delay. */
    public void schedule(Duration delay, Runnable event) {
        try {
            Future<?> unused =
                    mExecutor.schedule(
                            () -> runAndLogFailure(event), delay.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException stopped) {
            LOG.debug("Delayed event dropped: the loop has stopped.");
        }
    }

    @Override
    public CompletableFuture<Void> stop() {
        mExecutor.shutdown();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Runs an event and reports an exception.
     *
     * <p>The executor silently cancels a periodic task that throws.
     */
    private void runAndLogFailure(Runnable event) {
        boolean unused = isolate(event);
    }

    /**
     * Runs a part of an event at once and reports an exception like that of an event, so that the
     * other parts run, too.
     *
     * @return whether the part ended without an exception
     */
    public boolean isolate(Runnable part) {
        try {
            part.run();
            return true;
        } catch (RuntimeException | Error failure) {
            LOG.error("An event failed.", failure);
            mFailureListener.accept(failure);
            return false;
        }
    }
}
