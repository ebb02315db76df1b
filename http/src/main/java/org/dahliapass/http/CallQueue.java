package org.dahliapass.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** The calls of one connection whose responses are not written yet, in request order. */
final class CallQueue {
    private final Deque<ServerCall> mCalls = new ArrayDeque<>();

    /** Adds a call behind all others. */
    void add(ServerCall call) {
        mCalls.add(call);
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }

    int size() {
        return mCalls.size();
    }

    /**
     * Returns the number of unfinished calls.
     *
     * <p>Finished calls stay in the queue until the connection advances. An answered call that
     * waits only for them counts as finished, because it is written as soon as they are removed.
     */
    int countUnfinished() {
        long finished =
                mCalls.stream()
                        .takeWhile(call -> call.isFinished() || call.isResponseHeldWhole())
                        .count();
        return mCalls.size() - (int) finished;
    }

    /** Returns the call whose response is written next; there must be one. */
    ServerCall first() {
        return mCalls.element();
    }

    /** Returns whether a call is the last one. */
    boolean isLast(ServerCall call) {
        return mCalls.peekLast() == call;
    }

    /** Returns whether the connection closes after the response to the last call. */
    boolean closesAfterLast() {
        return !mCalls.isEmpty() && mCalls.getLast().closesAfterResponse();
    }

    /** Returns whether the limits allow a request to start behind the calls. */
    boolean mayStart(RequestConcurrency next, PipelineLimits limits) {
        if (mCalls.isEmpty()) {
            return true;
        }
        if (closesAfterLast()) {
            return false;
        }
        long held = mCalls.stream().mapToLong(ServerCall::heldBytes).sum();
        return limits.mayStart(next, mCalls.getLast().concurrency(), mCalls.size(), held);
    }

    /** Removes the first call; there must be one. */
    ServerCall removeFirst() {
        return mCalls.remove();
    }

    /** Removes a call that will not be answered. */
    void remove(ServerCall call) {
        mCalls.remove(call);
    }

    /** Removes the calls behind one and returns them; none if the queue doesn't have it. */
    List<ServerCall> removeBehind(ServerCall call) {
        if (!mCalls.contains(call)) {
            return List.of();
        }
        List<ServerCall> behind = new ArrayList<>();
        Iterator<ServerCall> fromLast = mCalls.descendingIterator();
        ServerCall last = fromLast.next();
        while (last != call) {
            fromLast.remove();
            behind.add(0, last);
            last = fromLast.next();
        }
        return behind;
    }

    /** Removes all calls and returns them. */
    List<ServerCall> removeAll() {
        List<ServerCall> calls = List.copyOf(mCalls);
        mCalls.clear();
        return calls;
    }
}
