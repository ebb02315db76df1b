package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.ProtocolException;
import java.nio.channels.ClosedChannelException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A connection to a server that carries one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** The Keep-Alive parameter with the server's idle timeout, in seconds. */
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private static final long MILLIS_PER_SECOND = 1_000;

    /** The bytes of a response that are discarded rather than opening another connection. */
    private static final long MAX_DISCARDED_BYTES = 64 * 1024;

    private static final long MAX_DISCARD_MILLIS = 500;

    private final Consumer<ClientConnection> mOnIdle;
    private final ClientCodec mCodec = new ClientCodec();
    private Channel mChannel;
    private ClientCall mCall;
    private boolean mInformational;
    private boolean mHeadReceived;
    private boolean mKeepAlive;
    private boolean mRequestWritten;
    private boolean mResponseComplete;
    private long mDiscardedBytes;
    private Optional<Future<?>> mDiscardTimer = Optional.empty();
    private long mServerIdleMillis = Long.MAX_VALUE;
    private long mIdleSinceMillis;

    /**
     * Creates a connection.
     *
     * @param onIdle called when the connection can be reused
     */
    ClientConnection(Consumer<ClientConnection> onIdle) {
        mOnIdle = onIdle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /** Returns the codec, placed before this handler. */
    ClientCodec codec() {
        return mCodec;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /** Returns whether the idle connection is still open, by what is ready to be read now. */
    boolean pollOpen() {
        return ChannelPoll.isOpen(mChannel, mChannel.config().isAutoRead());
    }

    /** Closes the connection, with a reset if a request is in flight. */
    void close() {
        closeMode().close(mChannel);
    }

    private CloseMode closeMode() {
        return mCall == null ? CloseMode.GRACEFUL : CloseMode.ABORTIVE;
    }

    void setAutoRead(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    void setIdleSince(long millis) {
        mIdleSinceMillis = millis;
    }

    /** Returns whether the connection has been idle for so long that the server may close it. */
    boolean isStale(long nowMillis, long maxMillis) {
        return nowMillis - mIdleSinceMillis >= Math.min(maxMillis, mServerIdleMillis);
    }

    /** Sends a request; the connection must be open and idle. */
    void send(ClientCall call) {
        mCall = call;
        mHeadReceived = false;
        mResponseComplete = false;
        mRequestWritten = false;
        call.attach(this);
        mCodec.beginResponse(HttpMethod.HEAD.equals(call.method()));
        mDiscardedBytes = 0;
        mDiscardTimer = Optional.empty();
        mChannel.writeAndFlush(call.toHttpRequest())
                .addListener(
                        written -> {
                            mRequestWritten = written.isSuccess();
                            if (!written.isSuccess()) {
                                close();
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        try {
            if (mCall == null || mResponseComplete) {
                // Unsolicited response: it would be attributed to the next request.
                mKeepAlive = false;
                close();
            } else if (part.decoderResult().isFailure()) {
                fail(new ProtocolException("Malformed response: " + part.decoderResult().cause()));
            } else {
                process(part);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void process(HttpObject part) {
        if (part instanceof HttpResponse head) {
            onHead(head);
        }
        if (part instanceof HttpContent content && mCall != null) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        mInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mInformational) {
            return;
        }
        mHeadReceived = true;
        mKeepAlive = HttpUtil.isKeepAlive(head) && hasExplicitLength(head);
        mServerIdleMillis = serverIdleMillis(head.headers());
        if (!mCall.isFinished()) {
            mCall.listener().onHead(head);
        }
    }

    private boolean hasExplicitLength(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || HttpMethod.HEAD.equals(mCall.method());
    }

    /**
     * Returns half of the server's advertised idle timeout, so that a request doesn't race with the
     * server's close; {@link Long#MAX_VALUE} if there is none.
     */
    private static long serverIdleMillis(HttpHeaders headers) {
        String keepAlive = headers.get("keep-alive");
        int start = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return Long.MAX_VALUE;
        }
        long seconds = 0;
        for (int index = start + TIMEOUT_PARAMETER.length(); index < keepAlive.length(); index++) {
            int digit = Character.digit(keepAlive.charAt(index), 10);
            if (digit < 0) {
                break;
            }
            seconds = Math.min(seconds * 10 + digit, Integer.MAX_VALUE);
        }
        return seconds * MILLIS_PER_SECOND / 2;
    }

    private void onContent(HttpContent content) {
        if (mInformational || !mHeadReceived) {
            return;
        }
        if (mCall.isFinished()) {
            mDiscardedBytes += content.content().readableBytes();
        } else if (content.content().isReadable()) {
            mCall.listener().onData(content.content());
        }
        if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
            close();
            return;
        }
        if (content instanceof LastHttpContent last) {
            mResponseComplete = true;
            mCall.complete(last.trailingHeaders());
        }
    }

    /**
     * Releases the connection for reuse after a complete response.
     *
     * <p>By now any bytes after the response have been read. If there were some, the connection is
     * closed, as it is if the server responded before the request was fully written.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mCall == null) {
            return;
        }
        if (!mResponseComplete) {
            limitDiscarding();
            return;
        }
        mCall = null;
        mChannel.config().setAutoRead(true);
        boolean isReusable = mKeepAlive && mRequestWritten;
        if (isReusable && isOpen()) {
            mOnIdle.accept(this);
        } else {
            close();
        }
    }

    /** Closes the connection after a time if the rest of a response is discarded. */
    private void limitDiscarding() {
        if (!mCall.isFinished() || mDiscardTimer.isPresent()) {
            return;
        }
        ClientCall call = mCall;
        mDiscardTimer =
                Optional.of(
                        mChannel.eventLoop()
                                .schedule(
                                        () -> closeIfCarrying(call),
                                        MAX_DISCARD_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    private void closeIfCarrying(ClientCall call) {
        if (mCall == call) {
            close();
        }
    }

    /** Fails the call, since a reset must not look like the end of a response without a length. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        fail(failure);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(new ClosedChannelException());
    }

    private void fail(Throwable failure) {
        ClientCall call = mCall;
        CloseMode mode = closeMode();
        mCall = null;
        mKeepAlive = false;
        mode.close(mChannel);
        if (call != null && !mResponseComplete) {
            call.fail(failure);
        }
    }
}
