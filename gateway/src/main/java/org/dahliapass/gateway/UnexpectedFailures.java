package org.dahliapass.gateway;

import java.util.Locale;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Counts and logs unexpected exceptions, each of which ends only the request, message or run of a
 * task in which it occurs. Thread-safe.
 */
final class UnexpectedFailures {
    private static final ComponentLog LOG = ComponentLog.of("gateway");

    private final EventLog mLog;
    private final EntryMetrics mMetrics;

    /** What this VM was doing when an exception occurred. */
    enum Step {
        /** Reading the head or the body of a request and matching it to a route. */
        READ,
        /** Starting the exchange of a request that was read. */
        START,
        /** Selecting a target or another VM for a request and sending it. */
        SEND,
        /** Handling what a target or another VM responded. */
        RESPOND,
        /** Ending a request and releasing what it holds. */
        END,
        /** Running a timer or a periodic task. */
        TIMER,
        /** Handling a message of another VM. */
        PEER_MESSAGE,
        /** Applying an update from the store. */
        STORE_UPDATE;

        private String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    UnexpectedFailures(EventLog log, EntryMetrics metrics) {
        mLog = log;
        mMetrics = metrics;
    }

    /**
     * Records an exception that ends a request. Never throws.
     *
     * @param id the attempt id of the request
     */
    void onRequestFailed(Step step, String id, Throwable failure) {
        record(step, "request_failed", id, failure);
    }

    /** Records an exception that occurred outside of a request. Never throws. */
    void onTaskFailed(Step step, Throwable failure) {
        record(step, "task_failed", "", failure);
    }

    /**
     * Runs a task and records an exception, so that the tasks behind it run, too.
     *
     * @return whether the task ended without an exception
     */
    boolean run(Step step, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error failure) {
            onTaskFailed(step, failure);
            return false;
        }
    }

    /**
     * Runs a part of a request's end and records an exception, so that the other parts run, too.
     *
     * @param id the attempt id of the request
     */
    void runAtEnd(String id, Runnable part) {
        try {
            part.run();
        } catch (RuntimeException | Error failure) {
            onRequestFailed(Step.END, id, failure);
        }
    }

    private void record(Step step, String event, String id, Throwable failure) {
        try {
            mMetrics.onUnexpectedFailure(step.label());
            mLog.write(
                    EventLog.Kind.FAILURE,
                    event,
                    line -> {
                        if (!id.isEmpty()) {
                            line.put("id", id);
                        }
                        line.put("step", step.label())
                                .put("exception", failure.toString())
                                .put("at", origin(failure));
                    });
        } catch (RuntimeException | Error exception) {
            LOG.error("An unexpected failure could not be recorded.", exception);
        }
    }

    /** Returns the innermost line of this program in the stack of an exception. */
    private static String origin(Throwable failure) {
        for (StackTraceElement frame : failure.getStackTrace()) {
            if (frame.getClassName().startsWith("org.dahliapass.")) {
                return frame.toString();
            }
        }
        return "";
    }
}
