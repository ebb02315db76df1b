package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One client's connection: its requests one after another, each answered before the next is taken.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Pieces of pipelined requests that are held before no more is read from the client. */
    private static final int MOST_HELD = 64;

    private final RequestHandler mHandler;
    private final Clock mClock;
    private final ServerCodec mCodec = new ServerCodec(this::onBytes);
    private final Deque<HttpObject> mHeld = new ArrayDeque<>();
    private Channel mChannel;
    private ResponseWriter mWriter;
    private ServerCall mCall;
    private Phase mPhase = Phase.IDLE;
    private Runnable mWritable = () -> {};
    private long mPhaseMillis;
    private long mBegunMillis;
    private boolean mAsksToContinue;
    private boolean mWriting;
    private boolean mDrops;

    /** What the connection waits for, and so how long it may take. */
    private enum Phase {
        /** A next request. */
        IDLE {
            @Override
            long mostMillis(ServerTimeouts limits) {
                return limits.idle().toMillis();
            }
        },
        /** The rest of a request's head. */
        HEAD {
            @Override
            long mostMillis(ServerTimeouts limits) {
                return limits.head().toMillis();
            }
        },
        /** More of a request's body. */
        BODY {
            @Override
            long mostMillis(ServerTimeouts limits) {
                return limits.body().toMillis();
            }
        },
        /** The answer, whose time is bounded elsewhere. */
        ANSWER {
            @Override
            long mostMillis(ServerTimeouts limits) {
                return Long.MAX_VALUE;
            }
        };

        abstract long mostMillis(ServerTimeouts limits);
    }

    ServerConnection(RequestHandler handler, Clock clock) {
        mHandler = handler;
        mClock = clock;
        mPhaseMillis = clock.millis();
    }

    /** Returns the codec that stands before this handler. */
    ServerCodec codec() {
        return mCodec;
    }

    EventLoop loop() {
        return mChannel.eventLoop();
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    void onWritable(Runnable listener) {
        mWritable = listener;
    }

    void closeAfterResponse() {
        mWriter.closeAfterResponse();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mWriter = new ResponseWriter(mChannel, mCodec);
    }

    private void onBytes() {
        if (mPhase == Phase.IDLE) {
            enter(Phase.HEAD);
        } else if (mPhase == Phase.BODY) {
            mPhaseMillis = mClock.millis();
        }
    }

    private void enter(Phase phase) {
        mPhase = phase;
        mPhaseMillis = mClock.millis();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (mDrops) {
            ReferenceCountUtil.release(part);
            return;
        }
        boolean ofNextRequest = mCall != null && mCall.isBodyComplete();
        if (!ofNextRequest) {
            take(part);
            return;
        }
        mHeld.add(part);
        if (mHeld.size() >= MOST_HELD) {
            mChannel.config().setAutoRead(false);
        }
    }

    private void take(HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                refuseMalformed(part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpRequest head) {
                begin(head);
            }
            if (part instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void begin(HttpRequest head) {
        mWriter.onRequest(head);
        Optional<HttpResponseStatus> refusal = RequestRule.firstRejection(head);
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        mAsksToContinue = HttpUtil.is100ContinueExpected(head);
        mCall = new ServerCall(this, head);
        enter(Phase.BODY);
        mHandler.onRequest(mCall);
    }

    private void onContent(HttpContent content) {
        if (mCall == null) {
            return;
        }
        mCall.onContent(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        enter(Phase.ANSWER);
        ServerCall call = mCall;
        call.onBodyEnd();
        if (mCall == call && call.isResponseStarted() && !mWriting) {
            endCall();
        }
    }

    /** Returns the length that a request tells for its body; -1 if it tells none. */
    long contentLength(HttpRequest head) {
        return HttpUtil.getContentLength(head, -1L);
    }

    /** Lets a client go on that waits for leave to send its body. */
    void sendContinueIfExpected() {
        if (mAsksToContinue) {
            mAsksToContinue = false;
            mWriter.writeContinue();
        }
    }

    /** Guards against bytes that can't be told from a next request: nothing after them is read. */
    private void refuseMalformed(Throwable cause) {
        mDrops = true;
        if (mCall != null && mCall.isResponseStarted()) {
            close();
            return;
        }
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        refuse(status);
    }

    /** Answers in place of the handler, and closes. */
    private void refuse(HttpResponseStatus status) {
        ServerCall call = mCall;
        mCall = null;
        mDrops = true;
        if (call != null) {
            tellDelivered(call, false);
            call.onClientDisconnected();
        }
        mWriter.writeLast(status).addListener(ChannelFutureListener.CLOSE);
    }

    void write(ServerResponse answer) {
        beginWriting();
        mWriter.write(answer).addListener((ChannelFuture done) -> onWritten(done.isSuccess()));
    }

    void writeHead(HttpResponseStatus status, HttpHeaders headers, long length) {
        beginWriting();
        mWriter.writeHead(status, headers, length);
    }

    void writeChunk(ByteBuf piece) {
        mWriter.writeChunk(piece);
    }

    void writeEnd(HttpHeaders trailers) {
        mWriter.writeEnd(trailers).addListener((ChannelFuture done) -> onWritten(done.isSuccess()));
    }

    private void beginWriting() {
        if (mAsksToContinue) {
            // Whether its body comes now is the client's choice, so what follows can't be told.
            mWriter.closeAfterResponse();
        }
        mWriting = true;
        mBegunMillis = mClock.millis();
    }

    private void onWritten(boolean whole) {
        if (mCall == null) {
            return;
        }
        mCall.notifyDelivered(
                new ServerCall.Delivery(
                        whole, mWriter.bodyBytes(), mClock.millis() - mBegunMillis));
        mWriting = false;
        if (!whole) {
            close();
        } else if (mCall.isBodyComplete()) {
            endCall();
        } else if (mAsksToContinue) {
            // The body was never asked for and won't come.
            mDrops = true;
            close();
        }
    }

    /** The answer is written and the request read to its end: goes on with the next one. */
    private void endCall() {
        mCall = null;
        if (mWriter.closes()) {
            mDrops = true;
            close();
            return;
        }
        mWritable = () -> {};
        enter(Phase.IDLE);
        while (!mHeld.isEmpty() && (mCall == null || !mCall.isBodyComplete()) && !mDrops) {
            take(mHeld.poll());
        }
        if (mHeld.size() < MOST_HELD) {
            mChannel.config().setAutoRead(true);
        }
    }

    /** Closes a connection whose client takes longer than allowed. */
    void closeIfTimedOut(ServerTimeouts limits) {
        if (mClock.millis() - mPhaseMillis <= mPhase.mostMillis(limits)) {
            return;
        }
        boolean midway = mPhase == Phase.HEAD || (mCall != null && !mCall.isResponseStarted());
        if (midway) {
            // True: a request is handed on only once it is whole.
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            close();
        }
    }

    /**
     * Closes the connection.
     *
     * <p>Guards against an answer without a length, as old clients get it, that is broken off: it
     * ends with its connection, so after an ordinary close it looks whole.
     */
    void close() {
        CloseMode end = mWriting ? CloseMode.ABORTIVE : CloseMode.GRACEFUL;
        end.close(mChannel);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            mWritable.run();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mHeld.forEach(ReferenceCountUtil::release);
        mHeld.clear();
        mDrops = true;
        ServerCall call = mCall;
        mCall = null;
        if (call == null) {
            return;
        }
        tellDelivered(call, false);
        call.onClientDisconnected();
    }

    private void tellDelivered(ServerCall call, boolean whole) {
        long millis = whole ? mClock.millis() - mBegunMillis : 0;
        call.notifyDelivered(new ServerCall.Delivery(whole, mWriter.bodyBytes(), millis));
    }

    /** A reset by the client, mostly; what it leaves undone is ended by the close. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        close();
    }
}
