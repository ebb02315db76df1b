package org.dahliapass.lab.policy;

import java.util.ArrayDeque;

/** A target's slots and its short queue. */
final class FakeTarget {
    /** The queue is this many times the slots; beyond it the target refuses. */
    private static final int QUEUE_FACTOR = 4;

    private final EventQueue mEvents;
    private final int mSlots;
    private final ArrayDeque<Work> mWaiting = new ArrayDeque<>();
    private int mBusy;

    FakeTarget(EventQueue events, int slots) {
        mEvents = events;
        mSlots = slots;
    }

    /** Takes the work in, or returns false if slots and queue are full. */
    boolean offer(Work work) {
        if (mBusy < mSlots) {
            start(work);
            return true;
        }
        if (mWaiting.size() >= QUEUE_FACTOR * mSlots) {
            return false;
        }
        mWaiting.add(work);
        return true;
    }

    private void start(Work work) {
        mBusy++;
        long leftMicros = work.deadlineMicros() - mEvents.nowMicros();
        boolean inTime = work.slotMicros() <= leftMicros;
        // Cancellation is passed on: a caller that gave up frees the slot.
        mEvents.schedule(inTime ? work.slotMicros() : leftMicros, () -> end(work, inTime));
    }

    private void end(Work work, boolean inTime) {
        mBusy--;
        work.done().onCompleted(inTime);
        while (mBusy < mSlots && !mWaiting.isEmpty()) {
            startOrDrop(mWaiting.remove());
        }
    }

    private void startOrDrop(Work next) {
        if (next.deadlineMicros() <= mEvents.nowMicros()) {
            next.done().onCompleted(false);
            return;
        }
        start(next);
    }

    /**
     * A piece of work.
     *
     * @param slotMicros how long it takes in a slot
     * @param deadlineMicros when the caller gives up
     * @param done is told whether the work ended in time
     */
    record Work(long slotMicros, long deadlineMicros, CompletionListener done) {}

    /** Is told of the end of a piece of work. */
    interface CompletionListener {
        /** Takes in whether the work ended before its deadline. */
        void onCompleted(boolean inTime);
    }
}
