package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Clock;
import java.util.List;
import java.util.Optional;

/**
 * A client's connection. Its requests are started in order, several at once as far as the limits
 * allow; their responses are written in the same order.
 *
 * <p>The connection closes in one of three ways. If the last call closes it after its response
 * ({@link CallQueue#closesAfterLast()}), the body of that call is still read, but nothing behind it
 * is started. A rejection ({@code mRejection}) also discards all input, is sent after the responses
 * to the calls before it, and is dropped if one of those closes the connection. Discarded input
 * ({@link RequestInput#discardAll()}) without a rejection means that the connection is closed
 * without a further response. {@link RequestInput#isDiscarded()} covers all three.
 *
 * <p>Where the client may not have received all that was written, {@link LingeringClose} ends the
 * connection.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** The time in which a client has usually read a response that was written. */
    private static final long MAX_DELIVERY_MILLIS = 1_000;

    private final IsolatedHandler mHandler;
    private final Clock mClock;
    private final PollMonitor mMonitor;
    private final PipelineLimits mLimits;
    private final PipelineListener mListener;
    private final ServerCodec mCodec = new ServerCodec(this::onBytes);
    private final ReadPause mReadPause;
    private final CoalescingTask mAdvance = new CoalescingTask(this::advance);
    private final CallQueue mCalls = new CallQueue();
    private final RequestInput mInput;
    private final IdleConnections mIdle;
    private final LingeringConnections mLingering;
    private Channel mChannel;
    private ResponseWriter mWriter;

    /** What is sent after all other responses, before the connection closes. */
    private Optional<HttpResponseStatus> mRejection = Optional.empty();

    private boolean mHandlesRead;

    /** The end of the connection, once nothing more is sent. */
    private Optional<LingeringClose> mClose = Optional.empty();

    /** Bounds the rest of a request's body after its response was written. */
    private Optional<DiscardLimit> mBodyLimit = Optional.empty();

    ServerConnection(
            RequestHandler handler,
            Clock clock,
            PollMonitor monitor,
            PipelineLimits limits,
            PipelineListener listener,
            IdleConnections idle,
            LingeringConnections lingering) {
        mHandler = new IsolatedHandler(handler);
        mClock = clock;
        mMonitor = monitor;
        mLimits = limits;
        mListener = listener;
        mIdle = idle;
        mLingering = lingering;
        mReadPause = new ReadPause(listener);
        mInput = new RequestInput(mCalls, limits, clock, monitor, listener.waitingBytes());
    }

    /** Returns the handlers of the connection's channel, in their order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {mReadPause, mCodec, this};
    }

    EventLoop loop() {
        return mChannel.eventLoop();
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /**
     * Returns whether the client is still connected, by what is ready to be read now. Requests that
     * this reads are started later, because the caller may be starting one.
     */
    boolean pollOpen() {
        if (mHandlesRead) {
            return isOpen();
        }
        mAdvance.suspend();
        boolean isOpen = ChannelPoll.isOpen(mChannel, mReadPause.mayRead());
        if (mAdvance.resume()) {
            loop().execute(mAdvance::run);
        }
        return isOpen;
    }

    /** Returns the bytes that were written and wait to be accepted by the socket. */
    long unwrittenBytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    void sendContinue() {
        mWriter.writeContinue();
    }

    /** Closes the connection after the response to a call and cancels all calls behind it. */
    void closeAfterResponse(ServerCall call) {
        call.response().framing().closeAfter();
        List<ServerCall> behind = mCalls.removeBehind(call);
        if (mInput.reading().filter(behind::contains).isPresent()) {
            mInput.endReading();
        }
        mHandler.cancel(behind);
        mAdvance.run();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mWriter = new ResponseWriter(mChannel, mCodec);
        updateIdle();
    }

    private void onBytes() {
        mHandlesRead = true;
        mInput.onBytes();
        updateIdle();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!isOpen() || mInput.isDiscarded()) {
            ReferenceCountUtil.release(message);
            return;
        }
        mInput.add((HttpObject) message);
        mAdvance.run();
        // Also while the connection may not advance, because a call polls it.
        mReadPause.update(mInput.isFull());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mHandlesRead = false;
        if (!mCalls.isEmpty()) {
            mCalls.first().response().resume();
        }
        context.fireChannelReadComplete();
    }

    /** Ends answered calls, writes the next response and processes what may be processed. */
    private void advance() {
        removeFinishedCalls();
        processWaiting();
        rejectIfDue();
        mInput.updatePhase();
        updateIdle();
        mReadPause.update(mInput.isFull());
    }

    private void updateIdle() {
        mIdle.update(this, isOpen() && mClose.isEmpty() && mInput.isIdle());
    }

    private void removeFinishedCalls() {
        while (!mCalls.isEmpty() && mCalls.first().isFinished()) {
            ServerCall call = mCalls.removeFirst();
            if (call.closesAfterResponse()) {
                closeAfterWritten();
                return;
            }
        }
        giveTurn();
    }

    private void giveTurn() {
        if (!mCalls.isEmpty()) {
            ServerCall first = mCalls.first();
            if (first.response()
                    .takeTurn(
                            mWriter,
                            () -> startResponse(first),
                            success -> onWritten(first, success))) {
                mHandler.onWritable(first);
            }
        }
    }

    /**
     * Decides whether the connection closes after a response that is about to be written.
     *
     * @return false if this is not known yet, because further requests may have been read
     */
    private boolean startResponse(ServerCall call) {
        if (!call.closesIfLast()) {
            return true;
        }
        if (mHandlesRead) {
            return false;
        }
        if (mCalls.isLast(call) && !mInput.isWaiting()) {
            call.response().framing().closeAfter();
        }
        return true;
    }

    private void processWaiting() {
        Optional<WaitingParts.Part> part = mInput.next();
        while (part.isPresent()) {
            process(part.get());
            part = isOpen() ? mInput.next() : Optional.empty();
        }
    }

    private void process(WaitingParts.Part part) {
        HttpObject message = part.message();
        try {
            if (message.decoderResult().isFailure()) {
                rejectMalformed(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest head) {
                startCall(head, mInput.receiveTimes(part));
            }
            if (message instanceof HttpContent content) {
                mInput.reading().ifPresent(call -> onContent(call, content));
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startCall(HttpRequest head, ServerCall.ReceiveTimes times) {
        Optional<HttpResponseStatus> rejection = RequestRule.firstRejection(head);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        CallResponse response = new CallResponse(ResponseFraming.of(head), mClock);
        ServerCall call = new ServerCall(this, head, times, mLimits.concurrency(head), response);
        mCalls.add(call);
        mInput.startReading(call);
        giveTurn();
        int depth = mCalls.countUnfinished();
        if (depth > 1) {
            mListener.onConcurrentRequest(depth);
        }
        mHandler.onRequest(call);
    }

    private void onContent(ServerCall call, HttpContent content) {
        long bytes = content.content().readableBytes();
        mHandler.onContent(call, content.content());
        if (mBodyLimit.filter(limit -> limit.exceedsWith(bytes)).isPresent()) {
            closeAfterWritten();
            return;
        }
        if (content instanceof LastHttpContent) {
            mBodyLimit = Optional.empty();
            mInput.endReading();
            mHandler.onBodyEnd(call);
            mAdvance.run();
        }
    }

    /** Rejects a malformed request and discards all later bytes, whose framing is unknown. */
    private void rejectMalformed(Throwable cause) {
        if (mInput.reading().filter(ServerCall::isResponseStarted).isPresent()) {
            closeAfterWritten();
            return;
        }
        reject(RequestRule.rejectionOfMalformed(cause));
    }

    /**
     * Rejects the request that is being read and discards all later bytes. The rejection is sent
     * after the responses to all requests before, and closes the connection.
     */
    private void reject(HttpResponseStatus status) {
        Optional<ServerCall> reading = mInput.reading();
        mInput.discardAll();
        mRejection = Optional.of(status);
        reading.ifPresent(
                call -> {
                    mCalls.remove(call);
                    mHandler.cancel(List.of(call));
                });
        mAdvance.run();
    }

    private void rejectIfDue() {
        if (mCalls.isEmpty() && mRejection.isPresent()) {
            HttpResponseStatus status = mRejection.get();
            mRejection = Optional.empty();
            mWriter.writeLast(status).addListener(done -> closeAfterWritten());
        }
    }

    private void onWritten(ServerCall call, boolean success) {
        if (call.isDisconnected()) {
            return;
        }
        try {
            mHandler.onDelivered(call, call.response().delivery(success));
        } finally {
            // Netty only logs what a write listener throws, so nothing else would advance.
            proceedAfterWrite(call, success);
        }
    }

    private void proceedAfterWrite(ServerCall call, boolean success) {
        if (mClose.isPresent()) {
            return;
        }
        if (!success) {
            close();
        } else if (call.isFinished()) {
            mAdvance.run();
        } else if (call.closesAfterResponse() || call.expectsContinue()) {
            // Without a 100 Continue, the body isn't expected either.
            closeAfterWritten();
        } else {
            mBodyLimit = Optional.of(new DiscardLimit(mClock.millis()));
        }
    }

    /** Closes the connection if the client exceeds the timeout of the current phase. */
    void closeIfTimedOut(ServerTimeouts timeouts) {
        long now = mClock.millis();
        if (mClose.isPresent()) {
            mClose.get().endIfExpired(now);
        } else if (mBodyLimit.filter(limit -> limit.isExpired(now)).isPresent()) {
            closeAfterWritten();
        } else if (mInput.isTimedOut(timeouts)) {
            onTimeout();
        }
    }

    private void onTimeout() {
        if (mInput.isRequestIncomplete()) {
            // 408 is safe: the request is incomplete, so it has not been processed.
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (mInput.isIdle()) {
            close();
        } else {
            closeAfterWritten();
        }
    }

    /**
     * Closes the connection so that the client receives what was written, even if it sends more
     * meanwhile. Cancels all calls and discards all input.
     */
    void closeAfterWritten() {
        if (mClose.isPresent()) {
            return;
        }
        mInput.discardAll();
        mRejection = Optional.empty();
        mBodyLimit = Optional.empty();
        boolean mayLookComplete =
                !mCalls.isEmpty() && mCalls.first().response().wouldLookComplete();
        if (mayLookComplete || !isOpen() || !(mChannel instanceof DuplexChannel duplex)) {
            close();
            return;
        }
        mReadPause.update(false);
        LingeringClose close = new LingeringClose(duplex, mClock.millis());
        // Set first, because the writes that fail must not close the connection.
        mClose = Optional.of(close);
        mLingering.add(this);
        close.begin();
        updateIdle();
        // Later, because a handler may be calling.
        loop().execute(this::cancelCalls);
    }

    /** Returns whether the client of a connection without a call has usually read all. */
    boolean isDelivered() {
        return mInput.idleMillis() >= MAX_DELIVERY_MILLIS;
    }

    /** Closes a connection without a call, of which the client may not have read all. */
    void closeIdle() {
        if (isDelivered()) {
            close();
        } else {
            closeAfterWritten();
        }
    }

    /** Closes a connection whose last response was sent, even if its client has not read all. */
    void endLingering(LingerEnd end) {
        mClose.ifPresent(
                close -> {
                    close.end(end);
                    mLingering.remove(this, close.result());
                });
    }

    /** Closes the connection because the server stops. */
    void stop() {
        endLingering(LingerEnd.SERVER_STOPPED);
        close();
    }

    /**
     * Closes the connection, with a reset if a response is being written.
     *
     * <p>An HTTP/1.0 response without a length ends with its connection, so after a graceful close
     * a truncated one would look complete.
     */
    void close() {
        boolean isWriting = !mCalls.isEmpty() && mCalls.first().response().isWriting();
        CloseMode mode = isWriting ? CloseMode.ABORTIVE : CloseMode.GRACEFUL;
        mode.close(mChannel);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!mCalls.isEmpty()) {
            mHandler.onWritable(mCalls.first());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mInput.discardAll();
        updateIdle();
        mRejection = Optional.empty();
        mClose.ifPresent(close -> mLingering.remove(this, close.result()));
        cancelCalls();
    }

    private void cancelCalls() {
        List<ServerCall> calls = mCalls.removeAll();
        calls.forEach(call -> call.setMaxUnnoticedMillis(mMonitor.maxReadyMillis()));
        mHandler.cancel(calls);
    }

    /**
     * Closes the connection, usually after a reset by the client. A connection that is being closed
     * reports the writes that it dropped; its channel closes by itself after a reset.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        if (mClose.isEmpty()) {
            close();
        }
    }
}
