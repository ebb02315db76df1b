package org.dahliapass.http;

/**
 * A task that runs again when it is requested while it runs, but is never nested.
 *
 * <p>Guards against a stack that grows with the number of requests that are answered at once.
 */
final class CoalescingTask {
    private final Runnable mTask;
    private boolean mRequested;
    private boolean mRuns;
    private boolean mSuspended;

    CoalescingTask(Runnable task) {
        mTask = task;
    }

    /** Runs the task, unless it already runs or is suspended; then it runs again afterwards. */
    void run() {
        mRequested = true;
        if (mRuns || mSuspended) {
            return;
        }
        mRuns = true;
        try {
            while (mRequested) {
                mRequested = false;
                mTask.run();
            }
        } finally {
            mRuns = false;
        }
    }

    /** Lets nothing run until {@link #resume()}. */
    void suspend() {
        mSuspended = true;
    }

    /**
     * Ends the suspension.
     *
     * @return whether the task was requested meanwhile and has to be run by the caller
     */
    boolean resume() {
        mSuspended = false;
        return mRequested && !mRuns;
    }
}
