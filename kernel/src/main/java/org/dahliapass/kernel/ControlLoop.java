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
import java.util.function.Supplier;

/**
 * The one thread that owns all control state of a process.
 *
 * <p>Traffic threads post events here and read published snapshots; they never touch the state.
 */
public final class ControlLoop implements KernelService, Executor {
    /** The name under which the kernel holds the control loop. */
    public static final String NAME = "control-loop";

    private static final ComponentLog LOG = ComponentLog.of("control");

    private final Clock mClock;
    private final ScheduledThreadPoolExecutor mExecutor;
    private final Queue<Future<?>> mTimers = new ConcurrentLinkedQueue<>();

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

    /** Returns the current time in milliseconds, from the injected clock. */
    public long nowMillis() {
        return mClock.millis();
    }

    /** Runs an event on the control thread, in the order of posting. */
    @Override
    public void execute(Runnable event) {
        try {
            mExecutor.execute(() -> runLogged(event));
        } catch (RejectedExecutionException expected) {
            LOG.debug("Event dropped: the loop has stopped.");
        }
    }

    /**
     * Runs a question on the control thread and completes with its answer.
     *
     * @return fails with the question's own failure, or with a {@link OperationException} if the
     *     loop has stopped
     */
    public <T> CompletableFuture<T> submit(Supplier<T> question) {
        try {
            return CompletableFuture.supplyAsync(question, mExecutor);
        } catch (RejectedExecutionException expected) {
            return CompletableFuture.failedFuture(
                    new OperationException(
                            "ask", "control loop", "The loop has stopped. Ask another VM."));
        }
    }

    /** Runs an event on the control thread every period, first after one period. */
    public void scheduleWithFixedDelay(Duration period, Runnable event) {
        try {
            mTimers.add(
                    mExecutor.scheduleWithFixedDelay(
                            () -> runLogged(event),
                            period.toMillis(),
                            period.toMillis(),
                            TimeUnit.MILLISECONDS));
        } catch (RejectedExecutionException expected) {
            LOG.debug("Periodic event dropped: the loop has stopped.");
        }
    }

    /**
     * Ends all periodic events, before the services that they use are stopped.
     *
     * <p>Guards against a period that comes while its service is stopping, which would show as
     * errors in the last lines of a log that is otherwise clean.
     */
    public CompletableFuture<Void> cancelTimers() {
        return submit(
                () -> {
                    mTimers.forEach(timer -> timer.cancel(false));
                    return null;
                });
    }

    /** Runs an event on the control thread once, after a delay. */
    public void schedule(Duration delay, Runnable event) {
        try {
            Future<?> unused =
                    mExecutor.schedule(
                            () -> runLogged(event), delay.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException expected) {
            LOG.debug("Delayed event dropped: the loop has stopped.");
        }
    }

    @Override
    public CompletableFuture<Void> stop() {
        mExecutor.shutdown();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Guards against an event that throws: a scheduled event would silently never run again, which
     * would show as a VM that probes and gossips no more. Logged, and the loop goes on.
     */
    private static void runLogged(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException failure) {
            LOG.error("An event failed.", failure);
        }
    }
}
