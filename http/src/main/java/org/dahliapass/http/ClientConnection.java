package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.nio.channels.ClosedChannelException;
import java.util.List;
import java.util.function.Consumer;

/** One connection to a server, which carries one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** What a server tells of how long it keeps an idle connection, in seconds. */
    private static final String TIMEOUT = "timeout=";

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Consumer<ClientConnection> mOnFree;
    private final ClientCodec mCodec = new ClientCodec();
    private Channel mChannel;
    private ClientCall mCall;
    private boolean mInformational;
    private boolean mHeadCame;
    private boolean mKeepsOpen;
    private boolean mWritten;
    private boolean mEnded;
    private long mKeptMillis = Long.MAX_VALUE;
    private long mIdleSinceMillis;

    /**
     * Creates a connection.
     *
     * @param onFree told when the connection may carry another request
     */
    ClientConnection(Consumer<ClientConnection> onFree) {
        mOnFree = onFree;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /**
     * Returns what stands before the codec and closes an idle connection that is sent anything.
     *
     * <p>Guards against the beginning of a late second answer: the codec keeps it until more comes,
     * and the next request on this connection would get it for its own.
     */
    ChannelInboundHandlerAdapter guard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (mCall == null) {
                    ReferenceCountUtil.release(bytes);
                    close();
                    return;
                }
                context.fireChannelRead(bytes);
            }
        };
    }

    /** Returns the codec that stands before this handler. */
    ClientCodec codec() {
        return mCodec;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /** Closes the connection; a request that it carries must not reach the server any more. */
    void close() {
        end().close(mChannel);
    }

    private CloseMode end() {
        return mCall == null ? CloseMode.GRACEFUL : CloseMode.ABORTIVE;
    }

    void setAutoRead(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    void setIdleSince(long millis) {
        mIdleSinceMillis = millis;
    }

    /** Returns whether the connection was idle for so long that its server may close it. */
    boolean isStale(long nowMillis, long mostMillis) {
        return nowMillis - mIdleSinceMillis >= Math.min(mostMillis, mKeptMillis);
    }

    /** Sends a request; the connection is open and carries none. */
    void send(ClientCall call) {
        mCall = call;
        mHeadCame = false;
        mEnded = false;
        mWritten = false;
        call.attach(this);
        mCodec.setBodiless(HttpMethod.HEAD.equals(call.method()));
        mChannel.writeAndFlush(call.message())
                .addListener(
                        done -> {
                            mWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                close();
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        try {
            if (mCall == null || mEnded) {
                // Guards against an answer that nobody waits for and that the next request on this
                // connection would take for its own.
                mKeepsOpen = false;
                close();
            } else if (part.decoderResult().isFailure()) {
                fail(new ProtocolException("Malformed: " + part.decoderResult().cause()));
            } else {
                take(part);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void take(HttpObject part) {
        if (part instanceof HttpResponse head) {
            onHead(head);
        }
        if (part instanceof HttpContent content && mCall != null) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail(new ProtocolException("The server switches protocols unasked."));
            return;
        }
        mInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mInformational) {
            return;
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty() && !RequestRule.isOnlyChunked(codings)) {
            fail(new ProtocolException("The answer's end can't be told: " + codings));
            return;
        }
        mHeadCame = true;
        mKeepsOpen = HttpUtil.isKeepAlive(head) && isFramed(head);
        mKeptMillis = keptMillis(head.headers());
        if (!mCall.isFinished()) {
            mCall.listener().onHead(head);
        }
    }

    private boolean isFramed(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || HttpMethod.HEAD.equals(mCall.method());
    }

    /** Half of what the server keeps it: a request must not cross its close. */
    private static long keptMillis(HttpHeaders headers) {
        String told = headers.get("keep-alive");
        int at = told == null ? -1 : told.indexOf(TIMEOUT);
        if (at < 0) {
            return Long.MAX_VALUE;
        }
        long seconds = 0;
        for (int place = at + TIMEOUT.length(); place < told.length(); place++) {
            int digit = Character.digit(told.charAt(place), 10);
            if (digit < 0) {
                break;
            }
            seconds = Math.min(seconds * 10 + digit, Integer.MAX_VALUE);
        }
        return seconds * MILLIS_PER_SECOND / 2;
    }

    private void onContent(HttpContent content) {
        if (mInformational || !mHeadCame) {
            return;
        }
        if (content.content().isReadable() && !mCall.isFinished()) {
            mCall.listener().onData(content.content());
        }
        if (content instanceof LastHttpContent last) {
            mEnded = true;
            mCall.end(last.trailingHeaders());
        }
    }

    /**
     * Bytes behind a whole answer have been seen by now, so the connection is clean. A request that
     * the server answered before it was read to its end is still on its way.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mCall == null || !mEnded) {
            return;
        }
        mCall = null;
        mChannel.config().setAutoRead(true);
        if (mKeepsOpen && mWritten && isOpen()) {
            mOnFree.accept(this);
        } else {
            close();
        }
    }

    /** A reset must not look like the end of an answer without a length. */
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
        CloseMode end = end();
        mCall = null;
        mKeepsOpen = false;
        end.close(mChannel);
        if (call != null && !mEnded) {
            call.fail(failure);
        }
    }
}
