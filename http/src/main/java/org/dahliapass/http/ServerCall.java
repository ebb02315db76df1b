package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One request received by an {@link HttpServer}, and its response, which is sent once.
 *
 * <p>Not thread-safe; used only on the connection's event loop.
 */
public final class ServerCall {
    private static final int INITIAL_BODY_BYTES = 1_024;

    /** A Content-Length alone must not allocate more memory than this. */
    private static final int MAX_PREALLOCATED_BYTES = 256 * 1024;

    /** When a client may send a request again whose handler has failed, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final ServerConnection mConnection;
    private final HttpRequest mHead;
    private final ReceiveTimes mReceiveTimes;
    private final RequestConcurrency mConcurrency;
    private final CallResponse mResponse;
    private final List<Runnable> mDisconnectListeners = new ArrayList<>(1);
    private Consumer<ByteBuf> mBodyListener;
    private Runnable mOnTooLarge;
    private Consumer<Delivery> mDeliveryListener = delivery -> {};
    private Runnable mWritableListener = () -> {};
    private long mMaxBodyBytes;
    private ByteBuf mBody;
    private boolean mBodyComplete;
    private boolean mExpectsContinue;
    private boolean mResponseStarted;
    private boolean mClosesIfLast;
    private boolean mDisconnected;
    private boolean mDelivered;
    private long mMaxUnnoticedMillis;

    /**
     * What is known of a request's time before its head was read.
     *
     * @param arrivalMillis when the request was ready to be read at the latest, in milliseconds;
     *     its head may be read later
     * @param connectionAgeMillis the time since the connection was accepted, in milliseconds
     * @param maxUnreadMillis how long at most the last bytes of the head waited in the socket
     *     buffer, in milliseconds
     */
    public record ReceiveTimes(
            long arrivalMillis, long connectionAgeMillis, long maxUnreadMillis) {}

    /**
     * The extent to which a response was written.
     *
     * @param whole whether the last byte was written
     * @param bytes the number of response body bytes written
     * @param millis the time from the first to the last written byte, in milliseconds; 0 if the
     *     response was aborted
     */
    public record Delivery(boolean whole, long bytes, long millis) {}

    ServerCall(
            ServerConnection connection,
            HttpRequest head,
            ReceiveTimes receiveTimes,
            RequestConcurrency concurrency,
            CallResponse response) {
        mConnection = connection;
        mHead = head;
        mReceiveTimes = receiveTimes;
        mResponse = response;
        mConcurrency = concurrency;
        mExpectsContinue = HttpUtil.is100ContinueExpected(head);
    }

    /** Returns the request line and headers. */
    public HttpRequest head() {
        return mHead;
    }

    /** Returns what is known of the request's time before its head was read. */
    public ReceiveTimes receiveTimes() {
        return mReceiveTimes;
    }

    /**
     * Returns how long at most the client had disconnected before it was noticed, in milliseconds.
     */
    public long maxUnnoticedMillis() {
        return mMaxUnnoticedMillis;
    }

    /** Returns the event loop of the connection. */
    public EventLoop loop() {
        return mConnection.loop();
    }

    /**
     * Collects the request's body.
     *
     * @param maxBytes the maximum body length, in bytes
     * @param onComplete receives the complete body, in a heap buffer
     * @param onTooLarge called instead once the body exceeds the maximum; the rest is discarded
     */
    public void readBody(long maxBytes, Consumer<ByteBuf> onComplete, Runnable onTooLarge) {
        mMaxBodyBytes = maxBytes;
        mBodyListener = onComplete;
        mOnTooLarge = onTooLarge;
        long contentLength = HttpUtil.getContentLength(mHead, -1L);
        if (contentLength > maxBytes) {
            discardBody();
            onTooLarge.run();
            return;
        }
        mBody = Unpooled.buffer(initialCapacity(contentLength));
        sendContinueIfExpected();
    }

    /** Sends {@code 100 Continue} if the client waits for it before it sends its body. */
    private void sendContinueIfExpected() {
        if (mExpectsContinue) {
            mExpectsContinue = false;
            mConnection.sendContinue();
        }
    }

    private static int initialCapacity(long contentLength) {
        return contentLength < 0
                ? INITIAL_BODY_BYTES
                : (int) Math.min(contentLength, MAX_PREALLOCATED_BYTES);
    }

    /**
     * Adds a listener that is called if the client disconnects before the response is fully
     * written; called immediately if it has already disconnected.
     */
    public void onDisconnect(Runnable listener) {
        if (mDisconnected) {
            listener.run();
            return;
        }
        mDisconnectListeners.add(listener);
    }

    /**
     * Returns whether the client is still connected, by what the operating system knows now.
     *
     * <p>If it has disconnected, the listeners are called soon, but not before this method returns.
     * Must not be called while the request is being read.
     */
    public boolean isClientConnected() {
        return !mDisconnected && mConnection.pollOpen();
    }

    /**
     * Adds a listener that is called once no more of the response will be written; called
     * immediately if that is so already.
     */
    public void onDelivered(Consumer<Delivery> listener) {
        if (mDelivered) {
            listener.accept(new Delivery(false, 0, 0));
            return;
        }
        mDeliveryListener = mDeliveryListener.andThen(listener);
    }

    /**
     * Returns the bytes of the response that the client's connection has not accepted yet, or those
     * that wait for earlier responses of the connection.
     */
    public long unwrittenBytes() {
        return hasTurn() ? mConnection.unwrittenBytes() : mResponse.heldBytes();
    }

    /** Returns whether all earlier responses of the connection are written. */
    public boolean hasTurn() {
        return mResponse.hasTurn();
    }

    /**
     * Closes the connection after this response. Later requests of the connection are not started;
     * those that were are cancelled as if the client had disconnected.
     */
    public void closeAfterResponse() {
        mConnection.closeAfterResponse(this);
    }

    /**
     * Closes the connection after this response, unless a later request has been received by the
     * time the response begins. Such a request is handled as usual.
     */
    public void closeIfLast() {
        mClosesIfLast = true;
    }

    /** Sends a complete response, once all earlier ones of the connection are sent. */
    public void respond(ServerResponse response) {
        if (markResponseStarted()) {
            mResponse.add(new ResponsePart.Complete(response));
        }
    }

    /**
     * Starts a response whose body follows in parts.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    public void startResponse(HttpResponseStatus status, HttpHeaders headers, long length) {
        if (markResponseStarted()) {
            mResponse.add(new ResponsePart.Head(status, headers, length));
        }
    }

    /** Writes a part of the body and takes ownership of the buffer. */
    public void write(ByteBuf chunk) {
        mResponse.add(new ResponsePart.Chunk(chunk));
    }

    /** Ends a started response. */
    public void endResponse(HttpHeaders trailers) {
        mResponse.add(new ResponsePart.End(trailers));
    }

    /**
     * Aborts a started response: closes the connection, so that the response is incomplete. If
     * earlier responses are not sent yet, 502 is sent instead of this one, of which the client has
     * received nothing.
     */
    public void abort() {
        if (mDisconnected || mResponse.isWritten()) {
            return;
        }
        if (mResponse.hasTurn()) {
            mConnection.closeAfterWritten();
            return;
        }
        mResponseStarted = true;
        mResponse.replaceHeld(ServerResponse.of(HttpResponseStatus.BAD_GATEWAY));
    }

    /**
     * Returns whether more can be written now without exceeding the write buffer's limit; false
     * until all earlier responses of the connection are sent.
     */
    public boolean isWritable() {
        return !mDisconnected && mResponse.hasTurn() && mConnection.isWritable();
    }

    /** Sets the listener that is called whenever the response becomes writable again. */
    public void onWritable(Runnable listener) {
        mWritableListener = listener;
    }

    /** Returns whether the client can still receive a response. */
    private boolean markResponseStarted() {
        if (mResponseStarted) {
            throw new IllegalStateException("The request already has a response; respond once.");
        }
        mResponseStarted = true;
        mBodyListener = null;
        mBody = null;
        if (mDisconnected || !mConnection.isOpen()) {
            return false;
        }
        if (mExpectsContinue) {
            // The client may or may not send its body now, so the next request can't be framed.
            closeAfterResponse();
        }
        return true;
    }

    /**
     * Ends the call after its handler has thrown.
     *
     * @param status the status of the response, unless the handler has started one
     */
    void onHandlerFailure(HttpResponseStatus status) {
        if (!mResponseStarted) {
            ServerResponse response = ServerResponse.of(status);
            if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
            }
            respond(response);
        } else if (!mResponse.isEnded()) {
            abort();
        }
    }

    RequestConcurrency concurrency() {
        return mConcurrency;
    }

    CallResponse response() {
        return mResponse;
    }

    /** Returns the size of the response's body that waits for earlier responses, in bytes. */
    long heldBytes() {
        return mResponse.heldBytes();
    }

    boolean closesAfterResponse() {
        return mResponse.framing().closesAfter();
    }

    boolean closesIfLast() {
        return mClosesIfLast;
    }

    /** Returns whether the client still waits for {@code 100 Continue}. */
    boolean expectsContinue() {
        return mExpectsContinue;
    }

    /** Returns whether the request was read and its response was written. */
    boolean isFinished() {
        return mBodyComplete && mResponse.isWritten();
    }

    /** Returns whether the request was read and its whole response waits for earlier ones. */
    boolean isResponseHeldWhole() {
        return mBodyComplete && mResponse.isEnded() && !mResponse.hasTurn();
    }

    boolean isDisconnected() {
        return mDisconnected;
    }

    /** Tells the handler if more of the response can be written. */
    void notifyIfWritable() {
        if (isWritable() && !mResponse.isEnded()) {
            mWritableListener.run();
        }
    }

    /** Returns whether a response was sent or started. */
    public boolean isResponseStarted() {
        return mResponseStarted;
    }

    boolean isBodyComplete() {
        return mBodyComplete;
    }

    void onContent(ByteBuf chunk) {
        if (mBody == null) {
            return;
        }
        if (mBody.readableBytes() + chunk.readableBytes() > mMaxBodyBytes) {
            discardBody();
            mOnTooLarge.run();
            return;
        }
        mBody.writeBytes(chunk);
    }

    private void discardBody() {
        mBody = null;
        mBodyListener = null;
    }

    void onBodyEnd() {
        mBodyComplete = true;
        Consumer<ByteBuf> listener = mBodyListener;
        mBodyListener = null;
        if (listener != null) {
            ByteBuf body = mBody;
            mBody = null;
            listener.accept(body);
        }
    }

    void setMaxUnnoticedMillis(long millis) {
        mMaxUnnoticedMillis = millis;
    }

    /** Marks the call as disconnected, without telling its handler. */
    void markDisconnected() {
        mDisconnected = true;
        mBodyListener = null;
        mResponse.discard();
    }

    /** Returns the listeners of the client's disconnect, in the order they were added. */
    List<Runnable> disconnectListeners() {
        return List.copyOf(mDisconnectListeners);
    }

    void notifyDelivered(Delivery delivery) {
        Consumer<Delivery> listener = mDeliveryListener;
        mDeliveryListener = ignored -> {};
        mDelivered = true;
        listener.accept(delivery);
    }
}
