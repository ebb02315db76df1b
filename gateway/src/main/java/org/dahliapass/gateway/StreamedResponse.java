package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Consumer;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.ServerCall;

/**
 * A response that is forwarded as it arrives, with back pressure from the caller.
 *
 * <p>Guards against memory use that grows with the size of the response and the slowness of the
 * caller: the target is read only while the connection of the caller is writable.
 */
final class StreamedResponse implements CallerResponse {
    private final HttpResponseStatus mStatus;
    private final HttpHeaders mHeaders;
    private final long mLength;
    private final ByteBuf mFirstChunk;
    private final Consumer<Boolean> mSetReading;
    private final Consumer<FailureKind> mAbort;
    private final RequestMemory mMemory;
    private final MemoryAccount.Holding mHolding;
    private ServerCall mCall;
    private boolean mEnded;
    private boolean mIsPaused;
    private long mPauseStartMillis;
    private long mPausedMillis;

    /**
     * Creates a response.
     *
     * @param length the length of the complete body, in bytes; negative if unknown
     * @param firstChunk the part of the body that has arrived
     * @param setReading enables or disables reading from the target
     * @param abort ends the attempt that supplies the response
     * @param memory watches whether the caller reads the response
     * @param holding the memory of the first part
     */
    StreamedResponse(
            HttpResponseStatus status,
            HttpHeaders headers,
            long length,
            ByteBuf firstChunk,
            Consumer<Boolean> setReading,
            Consumer<FailureKind> abort,
            RequestMemory memory,
            MemoryAccount.Holding holding) {
        mMemory = memory;
        mHolding = holding;
        mStatus = status;
        mHeaders = headers;
        mLength = length;
        mFirstChunk = firstChunk;
        mSetReading = setReading;
        mAbort = abort;
    }

    @Override
    public void send(ServerCall call) {
        mCall = call;
        call.onDisconnect(() -> mAbort.accept(FailureKind.CANCELLED_BY_CALLER));
        call.onWritable(this::onWritable);
        mMemory.onResponse(call, mHolding);
        call.startResponse(mStatus, mHeaders, mLength);
        write(mFirstChunk);
    }

    @Override
    public boolean isArriving() {
        return !mEnded;
    }

    /** Ends the response at the target and towards the caller. */
    @Override
    public void endLate() {
        mAbort.accept(FailureKind.TIMED_OUT);
        abort();
    }

    @Override
    public long pausedMillis() {
        return mPausedMillis + (mIsPaused ? mMemory.nowMillis() - mPauseStartMillis : 0);
    }

    private void setPaused(boolean isPaused) {
        if (isPaused == mIsPaused) {
            return;
        }
        mPausedMillis = pausedMillis();
        mPauseStartMillis = mMemory.nowMillis();
        mIsPaused = isPaused;
        mSetReading.accept(!isPaused);
    }

    @Override
    public void discard() {
        mHolding.release();
        mAbort.accept(FailureKind.CANCELLED_BY_CALLER);
    }

    private void onWritable() {
        mHolding.resize(mCall.unwrittenBytes());
        setPaused(false);
    }

    /** Writes a chunk of the body to the caller; takes ownership of the buffer. */
    void write(ByteBuf chunk) {
        if (mCall == null) {
            chunk.release();
            return;
        }
        mCall.write(chunk);
        mHolding.resize(mCall.unwrittenBytes());
        if (!mCall.isWritable()) {
            setPaused(true);
        }
    }

    void end(HttpHeaders trailers) {
        mEnded = true;
        if (mCall != null) {
            mCall.endResponse(trailers);
        }
    }

    /** Aborts the response to the caller, so that it does not appear complete. */
    void abort() {
        mEnded = true;
        if (mCall != null) {
            mCall.abort();
        }
    }
}
