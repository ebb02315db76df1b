package org.dahliapass.lab.policy;

import java.util.ArrayDeque;

/** A simulated target with slots and a bounded queue. */
final class FakeTarget {
    /** The capacity of the queue, as a multiple of the slots. */
    private static final int QUEUE_FACTOR = 4;

    private final EventQueue mEvents;
    private final int mSlots;
    private final ArrayDeque<Task> mQueue = new ArrayDeque<>();
    private int mUsedSlots;

    FakeTarget(EventQueue events, int slots) {
        mEvents = events;
        mSlots = slots;
    }

    /** Runs or queues a request; returns false if slots and queue are full. */
    boolean offer(Task task) {
        if (mUsedSlots < mSlots) {
            start(task);
            return true;
        }
        if (mQueue.size() >= QUEUE_FACTOR * mSlots) {
            return false;
        }
        mQueue.add(task);
        return true;
    }

    private void start(Task task) {
        mUsedSlots++;
        long remainingMicros = task.deadlineMicros() - mEvents.nowMicros();
        boolean inTime = task.slotMicros() <= remainingMicros;
        // The cancellation of an expired request frees the slot.
        mEvents.schedule(inTime ? task.slotMicros() : remainingMicros, () -> end(task, inTime));
    }

    private void end(Task task, boolean inTime) {
        mUsedSlots--;
        task.done().onCompleted(inTime);
        while (mUsedSlots < mSlots && !mQueue.isEmpty()) {
            startOrExpire(mQueue.remove());
        }
    }

    private void startOrExpire(Task next) {
        if (next.deadlineMicros() <= mEvents.nowMicros()) {
            next.done().onCompleted(false);
            return;
        }
        start(next);
    }

    /**
     * A request at the target.
     *
     * @param slotMicros the service time
     * @param deadlineMicros when the caller cancels
     * @param done receives the completion
     */
    record Task(long slotMicros, long deadlineMicros, CompletionListener done) {}

    /** Receives the completion of a request. */
    interface CompletionListener {
        /** Called when a request completes or reaches its deadline. */
        void onCompleted(boolean inTime);
    }
}
