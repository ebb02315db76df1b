package org.dahliapass.http;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Clock;
import java.util.Optional;
import java.util.function.LongConsumer;

/** The requests of one connection as they are read, and when they may be processed. */
final class RequestInput {
    private final CallQueue mCalls;
    private final PipelineLimits mLimits;
    private final WaitingParts mWaiting;
    private final ArrivalTimes mArrivals;
    private final ReadTimer mTimer;
    private Optional<ServerCall> mReading = Optional.empty();
    private boolean mDiscardsAll;

    /**
     * Creates the input of a connection that was just accepted.
     *
     * @param calls the calls that are not answered yet
     * @param limits the limits of what waits and of what is processed concurrently
     * @param clock the clock that measures the timeouts
     * @param monitor records the polls of the event loop
     * @param waitingBytes receives the size in memory of what waits, in bytes, whenever it changes
     */
    RequestInput(
            CallQueue calls,
            PipelineLimits limits,
            Clock clock,
            PollMonitor monitor,
            LongConsumer waitingBytes) {
        mCalls = calls;
        mLimits = limits;
        mWaiting = new WaitingParts(waitingBytes);
        mArrivals = new ArrivalTimes(clock, monitor);
        mTimer = new ReadTimer(clock);
    }

    /** Returns the call whose request body is being read; empty if there is none. */
    Optional<ServerCall> reading() {
        return mReading;
    }

    /** Sets the call whose request body is being read from now on. */
    void startReading(ServerCall call) {
        mReading = Optional.of(call);
        mTimer.enter(ReadPhase.BODY);
        mTimer.restart();
    }

    /** Ends reading a request's body. */
    void endReading() {
        mReading = Optional.empty();
    }

    /** Discards what waits and all that is read from now on. */
    void discardAll() {
        mDiscardsAll = true;
        mReading = Optional.empty();
        mWaiting.clear();
    }

    /** Returns whether nothing that is read from now on will be answered. */
    boolean isDiscarded() {
        return mDiscardsAll || (mReading.isEmpty() && mCalls.closesAfterLast());
    }

    /** Records that bytes have arrived, before they are decoded. */
    void onBytes() {
        if (isDiscarded()) {
            return;
        }
        if (mReading.isPresent()) {
            mTimer.restart();
        } else if (mWaiting.isEmpty() && (mCalls.isEmpty() || mLimits.isConcurrent())) {
            mTimer.enter(ReadPhase.HEAD);
        }
    }

    /** Adds a decoded part and takes ownership of it. */
    void add(HttpObject part) {
        boolean isConcurrentHead = part instanceof HttpRequest && mLimits.isConcurrent();
        mWaiting.add(part, isConcurrentHead ? Optional.of(mArrivals.next()) : Optional.empty());
        if (mTimer.phase() == ReadPhase.HEAD) {
            mTimer.enter(ReadPhase.RESPONSE);
        }
    }

    /** Removes the next part that may be processed now and passes on its ownership, if any. */
    Optional<WaitingParts.Part> next() {
        if (isDiscarded()) {
            mWaiting.clear();
        }
        boolean hasNext = !mWaiting.isEmpty() && mayProcess(mWaiting.first());
        return hasNext ? Optional.of(mWaiting.removeFirst()) : Optional.empty();
    }

    private boolean mayProcess(HttpObject part) {
        if (mReading.isPresent() || mCalls.isEmpty()) {
            return true;
        }
        return part instanceof HttpRequest head
                && part.decoderResult().isSuccess()
                && mCalls.mayStart(mLimits.concurrency(head), mLimits);
    }

    /** Returns what is known of the time before the head of a request was read. */
    ServerCall.ReceiveTimes receiveTimes(WaitingParts.Part head) {
        return head.times().orElseGet(mArrivals::next);
    }

    /** Returns whether a part of a request waits to be processed. */
    boolean isWaiting() {
        return !mWaiting.isEmpty();
    }

    /** Returns whether reading has to pause, because too much waits. */
    boolean isFull() {
        return mLimits.isFull(mWaiting.count(), mWaiting.bytes());
    }

    /** Determines what the connection waits for, after parts were processed or calls answered. */
    void updatePhase() {
        if (mReading.isPresent()) {
            mTimer.enter(ReadPhase.BODY);
        } else if (mTimer.phase() != ReadPhase.HEAD || isDiscarded()) {
            boolean isIdle = mCalls.isEmpty() && mWaiting.isEmpty();
            mTimer.enter(isIdle ? ReadPhase.IDLE : ReadPhase.RESPONSE);
        }
    }

    /** Returns whether the connection waits for the next request. */
    boolean isIdle() {
        return mTimer.phase() == ReadPhase.IDLE;
    }

    /** Returns for how long the connection has waited for the next request, in milliseconds. */
    long idleMillis() {
        return isIdle() ? mTimer.elapsedMillis() : 0;
    }

    /** Returns whether the client has exceeded the timeout of what the connection waits for. */
    boolean isTimedOut(ServerTimeouts timeouts) {
        return mTimer.isExpired(timeouts);
    }

    /** Returns whether a request is being read that has no response yet. */
    boolean isRequestIncomplete() {
        return mTimer.phase() == ReadPhase.HEAD
                || mReading.filter(call -> !call.isResponseStarted()).isPresent();
    }
}
