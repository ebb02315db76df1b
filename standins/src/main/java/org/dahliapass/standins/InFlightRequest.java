package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A request that holds a target's slot until it is completed, times out or is cancelled.
 *
 * <p>Not thread-safe; all methods run on the request's event loop.
 */
final class InFlightRequest {
    private final TargetState mState;
    private final HttpResponseWriter mWriter;
    private final EventLoop mEventLoop;
    private final List<Future<?>> mTimers = new ArrayList<>();
    private boolean mFinished;
    private boolean mHeadersSent;

    InFlightRequest(TargetState state, HttpResponseWriter writer, EventLoop eventLoop) {
        mState = state;
        mWriter = writer;
        mEventLoop = eventLoop;
        // Releases the slot as soon as the client resets the stream or closes the connection.
        Future<?> unused =
                writer.whenComplete()
                        .handleAsync(
                                (ignored, failure) -> {
                                    onStreamEnd();
                                    return null;
                                },
                                eventLoop);
    }

    /** Schedules a step after a delay in milliseconds; it is skipped if the request has ended. */
    void schedule(long millis, Runnable step) {
        mTimers.add(
                mEventLoop.schedule(() -> runUnlessFinished(step), millis, TimeUnit.MILLISECONDS));
    }

    /** Responds with the status and an empty body; aborts a response whose headers were sent. */
    void fail(HttpStatus status) {
        if (!finish()) {
            return;
        }
        if (mHeadersSent) {
            mWriter.close(AbortedStreamException.get());
            return;
        }
        mWriter.write(ResponseHeaders.builder(status).contentLength(0).build());
        mWriter.close();
    }

    /** Responds with a JSON body; if {@code closeEarly}, aborts after the first half. */
    void respond(byte[] json, boolean closeEarly) {
        writeHeaders(MediaType.JSON_UTF_8, json.length);
        if (closeEarly) {
            mWriter.write(HttpData.copyOf(json, 0, json.length / 2));
            abortOnceConsumed();
            return;
        }
        finish();
        mWriter.write(HttpData.wrap(json));
        mWriter.close();
    }

    /** Responds with a body of {@code length} bytes, as fast as the client reads them. */
    void stream(long length, boolean closeEarly) {
        writeHeaders(MediaType.OCTET_STREAM, length);
        writeChunksFrom(0, closeEarly ? length / 2 : length, closeEarly);
    }

    private void writeHeaders(MediaType type, long length) {
        mHeadersSent = true;
        mWriter.write(
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(type)
                        .contentLength(length)
                        .build());
    }

    private void writeChunksFrom(long offset, long end, boolean closeEarly) {
        if (mFinished) {
            return;
        }
        if (offset < end) {
            HttpData piece = PatternBody.chunk(offset, end);
            mWriter.write(piece);
            whenConsumed(() -> writeChunksFrom(offset + piece.length(), end, closeEarly));
            return;
        }
        if (closeEarly) {
            abortOnceConsumed();
            return;
        }
        finish();
        mWriter.close();
    }

    private void abortOnceConsumed() {
        whenConsumed(
                () -> {
                    finish();
                    mWriter.close(AbortedStreamException.get());
                });
    }

    private void whenConsumed(Runnable next) {
        Future<?> unused = mWriter.whenConsumed().thenRunAsync(next, mEventLoop);
    }

    private void runUnlessFinished(Runnable step) {
        if (!mFinished) {
            step.run();
        }
    }

    private void onStreamEnd() {
        if (finish()) {
            mState.countCancelled();
        }
    }

    /** Releases the slot; returns false if the request had already ended. */
    private boolean finish() {
        if (mFinished) {
            return false;
        }
        mFinished = true;
        mTimers.forEach(timer -> timer.cancel(false));
        mState.releaseSlot();
        return true;
    }
}
