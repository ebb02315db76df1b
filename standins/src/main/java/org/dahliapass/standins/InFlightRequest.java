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
 * One request that holds a slot until it is answered, abandoned or cancelled.
 *
 * <p>All methods run on the request's event loop.
 */
final class InFlightRequest {
    private final TargetState mState;
    private final HttpResponseWriter mWriter;
    private final EventLoop mEventLoop;
    private final List<Future<?>> mTimers = new ArrayList<>();
    private boolean mEnded;
    private boolean mHeadersSent;

    InFlightRequest(TargetState state, HttpResponseWriter writer, EventLoop eventLoop) {
        mState = state;
        mWriter = writer;
        mEventLoop = eventLoop;
        // A client that resets the stream or closes the connection ends the response; the slot
        // would else stay taken until the work is done for nobody.
        Future<?> unused =
                writer.whenComplete()
                        .handleAsync(
                                (nothing, failure) -> {
                                    onStreamEnd();
                                    return null;
                                },
                                eventLoop);
    }

    /** Does a step of the work after a time, unless the work has ended by then. */
    void schedule(long millis, Runnable step) {
        mTimers.add(mEventLoop.schedule(() -> ifOpen(step), millis, TimeUnit.MILLISECONDS));
    }

    /** Answers with a status and no content worth reading. */
    void fail(HttpStatus status) {
        if (!end()) {
            return;
        }
        if (mHeadersSent) {
            mWriter.close(AbortedStreamException.get());
            return;
        }
        mWriter.write(ResponseHeaders.builder(status).contentLength(0).build());
        mWriter.close();
    }

    /** Answers with a JSON body, or with its first half and a closed stream. */
    void respond(byte[] json, boolean closeEarly) {
        writeHeaders(MediaType.JSON_UTF_8, json.length);
        if (closeEarly) {
            mWriter.write(HttpData.copyOf(json, 0, json.length / 2));
            closeOnceConsumed();
            return;
        }
        end();
        mWriter.write(HttpData.wrap(json));
        mWriter.close();
    }

    /** Answers with a body of that many bytes, as fast as the client reads it. */
    void stream(long length, boolean closeEarly) {
        writeHeaders(MediaType.OCTET_STREAM, length);
        writeFrom(0, closeEarly ? length / 2 : length, closeEarly);
    }

    private void writeHeaders(MediaType type, long length) {
        mHeadersSent = true;
        mWriter.write(
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(type)
                        .contentLength(length)
                        .build());
    }

    private void writeFrom(long offset, long end, boolean closeEarly) {
        if (mEnded) {
            return;
        }
        if (offset < end) {
            HttpData piece = PatternBody.chunk(offset, end);
            mWriter.write(piece);
            whenConsumed(() -> writeFrom(offset + piece.length(), end, closeEarly));
            return;
        }
        if (closeEarly) {
            closeOnceConsumed();
            return;
        }
        end();
        mWriter.close();
    }

    private void closeOnceConsumed() {
        whenConsumed(
                () -> {
                    end();
                    mWriter.close(AbortedStreamException.get());
                });
    }

    private void whenConsumed(Runnable next) {
        Future<?> unused = mWriter.whenConsumed().thenRunAsync(next, mEventLoop);
    }

    private void ifOpen(Runnable step) {
        if (!mEnded) {
            step.run();
        }
    }

    private void onStreamEnd() {
        if (end()) {
            mState.countCancelled();
        }
    }

    /** Frees the slot; false if the work had ended before. */
    private boolean end() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mTimers.forEach(timer -> timer.cancel(false));
        mState.releaseSlot();
        return true;
    }
}
