package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Consumer;
import org.dahliapass.http.ServerCall;

/**
 * An answer that is passed on as it comes, no faster than its caller takes it.
 *
 * <p>Guards against memory that grows with the size of an answer and the slowness of its caller:
 * the target is read only while the caller's connection takes more.
 */
final class StreamedResponse implements CallerResponse {
    private final HttpResponseStatus mStatus;
    private final HttpHeaders mHeaders;
    private final long mLength;
    private final ByteBuf mFirst;
    private final Consumer<Boolean> mReading;
    private final Runnable mAbort;
    private ServerCall mCall;

    /**
     * Creates the answer.
     *
     * @param length the whole body's length in bytes; negative if unknown
     * @param first the part of the body that has come
     * @param reading makes the target be read, or not
     * @param abort ends the offer that the answer comes from
     */
    StreamedResponse(
            HttpResponseStatus status,
            HttpHeaders headers,
            long length,
            ByteBuf first,
            Consumer<Boolean> reading,
            Runnable abort) {
        mStatus = status;
        mHeaders = headers;
        mLength = length;
        mFirst = first;
        mReading = reading;
        mAbort = abort;
    }

    @Override
    public void send(ServerCall call) {
        mCall = call;
        call.onDisconnect(mAbort);
        call.onWritable(() -> mReading.accept(true));
        call.startResponse(mStatus, mHeaders, mLength);
        write(mFirst);
    }

    @Override
    public void discard() {
        mAbort.run();
    }

    /** Passes a piece on; takes over the buffer. */
    void write(ByteBuf piece) {
        if (mCall == null) {
            piece.release();
            return;
        }
        mCall.write(piece);
        if (!mCall.isWritable()) {
            mReading.accept(false);
        }
    }

    void end(HttpHeaders trailers) {
        if (mCall != null) {
            mCall.endResponse(trailers);
        }
    }

    /** Breaks the caller's answer off, so that it doesn't look whole. */
    void abort() {
        if (mCall != null) {
            mCall.abort();
        }
    }
}
