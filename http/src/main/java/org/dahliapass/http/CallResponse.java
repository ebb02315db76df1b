package org.dahliapass.http;

import io.netty.channel.ChannelFuture;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The response to one request, which is held in memory until all earlier ones of its connection are
 * written.
 */
final class CallResponse {
    private final ResponseFraming mFraming;
    private final Clock mClock;
    private final Deque<ResponsePart> mHeld = new ArrayDeque<>(1);
    private ResponseWriter mWriter;
    private BooleanSupplier mStart;
    private Consumer<Boolean> mOnWritten;
    private long mStartMillis;
    private boolean mStarted;
    private boolean mWritesHeld;
    private boolean mEnded;
    private boolean mWriting;
    private boolean mWritten;

    CallResponse(ResponseFraming framing, Clock clock) {
        mFraming = framing;
        mClock = clock;
    }

    ResponseFraming framing() {
        return mFraming;
    }

    /** Returns whether all earlier responses are written, so that this one is written directly. */
    boolean hasTurn() {
        return mWriter != null;
    }

    /** Returns whether no further part is accepted. */
    boolean isEnded() {
        return mEnded;
    }

    /** Returns whether a part was written but not the last one. */
    boolean isWriting() {
        return mWriting;
    }

    /**
     * Returns whether the client would take the written part for the whole response if the
     * connection ended now without a reset.
     */
    boolean wouldLookComplete() {
        return mWriting && mFraming.endsWithConnection();
    }

    /** Returns whether the last part was written. */
    boolean isWritten() {
        return mWritten;
    }

    /** Returns the size of the body bytes that wait for the turn, in bytes. */
    long heldBytes() {
        return mHeld.stream().mapToLong(ResponsePart::bytes).sum();
    }

    /**
     * Writes what is held, and from now on each part when it is added. Does nothing if this was
     * called before.
     *
     * @param start called before the first part is written; returns whether it may be written now,
     *     or otherwise with {@link #resume()}
     * @param onWritten receives whether the write succeeded, once the last part was written
     * @return whether it was called for the first time
     */
    boolean takeTurn(ResponseWriter writer, BooleanSupplier start, Consumer<Boolean> onWritten) {
        if (hasTurn()) {
            return false;
        }
        mWriter = writer;
        mStart = start;
        mOnWritten = onWritten;
        writer.begin(mFraming);
        writeHeld();
        return true;
    }

    /** Adds a part and takes ownership of it; discards it after the end of the response. */
    void add(ResponsePart part) {
        if (mEnded) {
            part.release();
            return;
        }
        mEnded = part.isLast();
        mHeld.add(part);
        if (hasTurn()) {
            writeHeld();
        }
    }

    /** Writes what is held because the response could not start, if the turn has come. */
    void resume() {
        if (hasTurn()) {
            writeHeld();
        }
    }

    /** Writes what is held, in order also if the handler adds a part while one is written. */
    private void writeHeld() {
        if (mWritesHeld || mHeld.isEmpty() || !start()) {
            return;
        }
        mWritesHeld = true;
        while (!mHeld.isEmpty()) {
            write(mHeld.remove());
        }
        mWritesHeld = false;
    }

    private boolean start() {
        mStarted = mStarted || mStart.getAsBoolean();
        return mStarted;
    }

    private void write(ResponsePart part) {
        if (!mWriting) {
            mWriting = true;
            mStartMillis = mClock.millis();
        }
        ChannelFuture written = part.writeTo(mWriter);
        if (part.isLast()) {
            written.addListener((ChannelFuture done) -> onWritten(done.isSuccess()));
        }
    }

    private void onWritten(boolean success) {
        mWriting = false;
        mWritten = success;
        mOnWritten.accept(success);
    }

    /** Returns the extent to which the response was written. */
    ServerCall.Delivery delivery(boolean whole) {
        return new ServerCall.Delivery(
                whole, mFraming.bodyBytes(), whole ? mClock.millis() - mStartMillis : 0);
    }

    /** Replaces what is held by a complete response; must not be called after the turn has come. */
    void replaceHeld(ServerResponse response) {
        discard();
        mHeld.add(new ResponsePart.Complete(response));
    }

    /** Discards what is held and all later parts. */
    void discard() {
        mEnded = true;
        mHeld.forEach(ResponsePart::release);
        mHeld.clear();
    }
}
