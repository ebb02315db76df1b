package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One request of a client and its answer, which is given once.
 *
 * <p>Used on the connection's event loop only.
 */
public final class ServerCall {
    private static final int FIRST_BODY_BYTES = 1_024;

    /** Bodies longer than this grow as they come: a length alone must not take memory. */
    private static final int MOST_TRUSTED_BYTES = 256 * 1024;

    private final ServerConnection mConnection;
    private final HttpRequest mHead;
    private final List<Runnable> mGoneListeners = new ArrayList<>(1);
    private Consumer<ByteBuf> mBodyListener;
    private Runnable mTooLarge;
    private Consumer<Delivery> mDelivered = delivery -> {};
    private long mMostBytes;
    private ByteBuf mBody;
    private boolean mWholeBody;
    private boolean mAnswered;
    private boolean mGone;

    /**
     * What was written of an answer.
     *
     * @param whole whether its last byte was written
     * @param bytes the bytes of both bodies
     * @param millis from its first byte to its last one written, in milliseconds; 0 if it was cut
     */
    public record Delivery(boolean whole, long bytes, long millis) {}

    ServerCall(ServerConnection connection, HttpRequest head) {
        mConnection = connection;
        mHead = head;
    }

    /** Returns the request's line and headers. */
    public HttpRequest head() {
        return mHead;
    }

    /** Returns the event loop of the connection. */
    public EventLoop loop() {
        return mConnection.loop();
    }

    /**
     * Collects the request's body.
     *
     * @param mostBytes the longest body that is taken
     * @param whole gets the body once it is whole, on the heap
     * @param tooLarge run instead once the body is known to be longer; the rest is dropped
     */
    public void readBody(long mostBytes, Consumer<ByteBuf> whole, Runnable tooLarge) {
        mMostBytes = mostBytes;
        mBodyListener = whole;
        mTooLarge = tooLarge;
        long told = mConnection.contentLength(mHead);
        if (told > mostBytes) {
            dropBody();
            tooLarge.run();
            return;
        }
        mBody = Unpooled.buffer(firstBytes(told));
        mConnection.sendContinueIfExpected();
    }

    private static int firstBytes(long told) {
        return told < 0 ? FIRST_BODY_BYTES : (int) Math.min(told, MOST_TRUSTED_BYTES);
    }

    /**
     * Runs an action if the client leaves before its answer was written in full; at once if it has
     * left already.
     */
    public void onDisconnect(Runnable listener) {
        if (mGone) {
            listener.run();
            return;
        }
        mGoneListeners.add(listener);
    }

    /** Tells how much of the answer was written, once no more is. */
    public void onDelivered(Consumer<Delivery> listener) {
        mDelivered = listener;
    }

    /** Has the connection closed after this answer. */
    public void closeAfterResponse() {
        mConnection.closeAfterResponse();
    }

    /** Gives a whole answer. */
    public void respond(ServerResponse answer) {
        if (startResponse()) {
            mConnection.write(answer);
        }
    }

    /**
     * Begins an answer that follows piece by piece.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    public void startResponse(HttpResponseStatus status, HttpHeaders headers, long length) {
        if (startResponse()) {
            mConnection.writeHead(status, headers, length);
        }
    }

    /** Writes a piece of the body; takes over the buffer. */
    public void write(ByteBuf piece) {
        mConnection.writeChunk(piece);
    }

    /** Ends an answer that was begun. */
    public void endResponse(HttpHeaders trailers) {
        mConnection.writeEnd(trailers);
    }

    /** Breaks an answer off that was begun: the connection closes, so that it looks incomplete. */
    public void abort() {
        mConnection.close();
    }

    /** Returns whether the client takes more now; else it has to be waited for. */
    public boolean isWritable() {
        return mConnection.isWritable();
    }

    /** Runs an action whenever the client takes more again. */
    public void onWritable(Runnable listener) {
        mConnection.onWritable(listener);
    }

    private boolean startResponse() {
        if (mAnswered) {
            throw new IllegalStateException("This request has its answer already.");
        }
        mAnswered = true;
        mBodyListener = null;
        mBody = null;
        return mConnection.isOpen();
    }

    boolean isResponseStarted() {
        return mAnswered;
    }

    boolean isBodyComplete() {
        return mWholeBody;
    }

    void onContent(ByteBuf piece) {
        if (mBody == null) {
            return;
        }
        if (mBody.readableBytes() + piece.readableBytes() > mMostBytes) {
            dropBody();
            mTooLarge.run();
            return;
        }
        mBody.writeBytes(piece);
    }

    private void dropBody() {
        mBody = null;
        mBodyListener = null;
    }

    void onBodyEnd() {
        mWholeBody = true;
        Consumer<ByteBuf> listener = mBodyListener;
        mBodyListener = null;
        if (listener != null) {
            ByteBuf body = mBody;
            mBody = null;
            listener.accept(body);
        }
    }

    void onClientDisconnected() {
        mGone = true;
        mBodyListener = null;
        mGoneListeners.forEach(Runnable::run);
    }

    void notifyDelivered(Delivery delivery) {
        Consumer<Delivery> listener = mDelivered;
        mDelivered = told -> {};
        listener.accept(delivery);
    }
}
