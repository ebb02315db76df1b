package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the answers of one connection, so that each says where it ends. */
final class ResponseWriter {
    private final Channel mChannel;
    private final ServerCodec mCodec;
    private HttpVersion mVersion = HttpVersion.HTTP_1_1;
    private long mBodyBytes;
    private boolean mToHead;
    private boolean mChunked;
    private boolean mCloses;

    ResponseWriter(Channel channel, ServerCodec codec) {
        mChannel = channel;
        mCodec = codec;
    }

    /** Takes the request that the next answer is for. */
    void onRequest(HttpRequest head) {
        mVersion = head.protocolVersion();
        mToHead = HttpMethod.HEAD.equals(head.method());
        mCodec.setBodiless(mToHead);
        mBodyBytes = 0;
        mCloses |= !HttpUtil.isKeepAlive(head);
    }

    /** Makes the next answer the connection's last one, and say so. */
    void closeAfterResponse() {
        mCloses = true;
    }

    /** Returns whether the connection is to be closed after the answer. */
    boolean closes() {
        return mCloses;
    }

    /** Returns the bytes of the answer's body so far. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Lets a client go on that waits for leave to send its body. */
    void writeContinue() {
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Writes a whole answer without a body, the last one. */
    ChannelFuture writeLast(HttpResponseStatus status) {
        mCloses = true;
        HttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        frame(answer, 0);
        return mChannel.writeAndFlush(answer);
    }

    /** Writes a whole answer. */
    ChannelFuture write(ServerResponse answer) {
        HttpResponse whole =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        answer.status(),
                        answer.body().duplicate(),
                        answer.headers(),
                        answer.trailers());
        mBodyBytes = answer.body().readableBytes();
        if (mToHead || !hasBody(answer.status())) {
            setConnection(whole);
        } else {
            frame(whole, answer.trailers().isEmpty() ? mBodyBytes : -1);
        }
        return mChannel.writeAndFlush(whole);
    }

    /**
     * Writes the head of an answer whose body follows in pieces.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    void writeHead(HttpResponseStatus status, HttpHeaders headers, long length) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, status, new DefaultHttpHeaders().set(headers));
        frame(head, length);
        ChannelFuture unused = mChannel.write(head, mChannel.voidPromise());
    }

    /** Writes a piece of the body; takes over the buffer. */
    void writeChunk(ByteBuf piece) {
        mBodyBytes += piece.readableBytes();
        send(new DefaultHttpContent(piece));
    }

    /** Ends an answer in pieces. */
    ChannelFuture writeEnd(HttpHeaders trailers) {
        LastHttpContent end =
                trailers.isEmpty() || !mChunked
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(
                                Unpooled.EMPTY_BUFFER, new DefaultHttpHeaders().set(trailers));
        return mChannel.writeAndFlush(end);
    }

    /** Sends what nobody waits for; if it can't be written, the connection closes. */
    private void send(Object message) {
        ChannelFuture unused = mChannel.writeAndFlush(message, mChannel.voidPromise());
    }

    private static boolean hasBody(HttpResponseStatus status) {
        int code = status.code();
        return code != HttpResponseStatus.NO_CONTENT.code()
                && code != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Says where a body ends: by its length, in chunks, or for old clients by the close. */
    private void frame(HttpResponse answer, long length) {
        mChunked = length < 0 && mVersion.equals(HttpVersion.HTTP_1_1);
        if (length >= 0) {
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (mChunked) {
            answer.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            answer.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            mCloses = true;
        }
        setConnection(answer);
    }

    private void setConnection(HttpResponse answer) {
        if (mCloses) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (mVersion.equals(HttpVersion.HTTP_1_0)) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
