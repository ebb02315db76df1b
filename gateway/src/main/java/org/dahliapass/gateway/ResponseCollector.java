package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.function.Consumer;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.HopByHopHeaders;
import org.dahliapass.http.ServerResponse;

/**
 * Buffers a response until it is complete, so that a repeatable request can be retried after a
 * truncated one. A response that exceeds the buffer limit is streamed instead. Confined to the
 * traffic thread.
 */
final class ResponseCollector {
    private static final int SERVER_ERROR = 500;

    private static final int DEFAULT_BODY_BYTES = 1_024;

    private final HttpResponse mHead;
    private final Consumer<Boolean> mSetReading;
    private final Consumer<FailureKind> mAbort;
    private final RequestMemory mMemory;
    private final MemoryAccount.Holding mHolding;
    private final int mMaxBufferedBytes;
    private ByteBuf mBuffer;
    private StreamedResponse mStream;

    /**
     * Creates a collector.
     *
     * @param head the head of the response
     * @param setReading enables or disables reading the response
     * @param abort ends the attempt that supplies the response
     * @param memory accounts for the buffer
     */
    ResponseCollector(
            HttpResponse head,
            Consumer<Boolean> setReading,
            Consumer<FailureKind> abort,
            RequestMemory memory) {
        mMemory = memory;
        mHead = head;
        mSetReading = setReading;
        mAbort = abort;
        long contentLength = HttpUtil.getContentLength(head, (long) DEFAULT_BODY_BYTES);
        mMaxBufferedBytes = memory.maxBufferedBytes();
        mBuffer = Unpooled.buffer((int) Math.min(contentLength, mMaxBufferedBytes));
        mHolding = memory.holdResponse(mBuffer.capacity());
    }

    /** Returns the status of the response. */
    int status() {
        return mHead.status().code();
    }

    /** Returns whether the response holds more memory than one response may. */
    boolean isTooLarge() {
        return mBuffer != null && mMemory.isTooLarge(mBuffer.capacity());
    }

    /**
     * Releases the buffer of a response that is not delivered; has no effect on a delivered one.
     */
    void discard() {
        if (mBuffer != null) {
            mBuffer = null;
            mHolding.release();
        }
    }

    /** Returns whether the response is streamed. */
    boolean isStreaming() {
        return mStream != null;
    }

    /**
     * Adds a part of the body; the buffer is valid only during the call.
     *
     * @return the response, if it is streamed from this part on
     */
    Optional<CallerResponse> add(ByteBuf chunk) {
        if (mStream != null) {
            mStream.write(chunk.retainedDuplicate());
            return Optional.empty();
        }
        if (mBuffer == null) {
            return Optional.empty();
        }
        boolean isError = status() >= SERVER_ERROR;
        if (mBuffer.readableBytes() + chunk.readableBytes() <= mMaxBufferedBytes || isError) {
            append(chunk);
            return Optional.empty();
        }
        append(chunk);
        mStream =
                new StreamedResponse(
                        mHead.status(),
                        callerHeaders(),
                        HttpUtil.getContentLength(mHead, -1L),
                        mBuffer,
                        mSetReading,
                        mAbort,
                        mMemory,
                        mHolding);
        mBuffer = null;
        return Optional.of(mStream);
    }

    private void append(ByteBuf chunk) {
        mBuffer.writeBytes(chunk);
        mHolding.resize(mBuffer.capacity());
    }

    /**
     * Ends the body.
     *
     * @return the complete response; empty if it was streamed
     */
    Optional<CallerResponse> end(HttpHeaders trailers) {
        if (mStream != null) {
            mStream.end(trailers);
            return Optional.empty();
        }
        if (mBuffer == null) {
            return Optional.empty();
        }
        ServerResponse response =
                new ServerResponse(mHead.status(), callerHeaders(), mBuffer, trailers);
        mBuffer = null;
        return Optional.of(new HeldResponse(response, mMemory, mHolding));
    }

    /** Aborts the response to the caller, so that it does not appear complete. */
    void abort() {
        mStream.abort();
    }

    private HttpHeaders callerHeaders() {
        HttpHeaders headers = mHead.headers();
        HopByHopHeaders.strip(headers, TargetRequestHead.ALWAYS_FORWARDED);
        return headers;
    }
}
