package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** A codec that encodes requests and strictly decodes responses of one connection. */
final class ClientCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private final Decoder mDecoder;

    ClientCodec() {
        this(new Decoder());
    }

    private ClientCodec(Decoder decoder) {
        super(decoder, new HttpRequestEncoder());
        mDecoder = decoder;
    }

    /**
     * Prepares for the response to the next request.
     *
     * @param bodiless whether it has no body because it answers a HEAD request
     */
    void beginResponse(boolean bodiless) {
        mDecoder.mBodiless = bodiless;
        mDecoder.mResponse = new ResponseBytes();
    }

    /** Returns whether bytes have arrived behind the response, which belong to no request. */
    boolean hasBytesBehindResponse() {
        return mDecoder.hasBytesBehindResponse();
    }

    private static final class Decoder extends HttpResponseDecoder {
        private boolean mBodiless;
        private boolean mInterim;
        private ResponseBytes mResponse = new ResponseBytes();

        private Decoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_HEAD_BYTES)
                            .setMaxHeaderSize(MAX_HEAD_BYTES));
        }

        private boolean hasBytesBehindResponse() {
            return mResponse.hasBytesBehind() || actualReadableBytes() > 0;
        }

        /** Decodes the next part, and fails if too many bytes belong to no body. */
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
                throws Exception {
            int from = bytes.readerIndex();
            int before = parts.size();
            super.decode(context, bytes, parts);
            mResponse.onDecoded(bytes.readerIndex() - from);
            parts.subList(before, parts.size()).forEach(this::count);
            if (mResponse.exceedsLimit()) {
                HttpObject failed = new DefaultHttpContent(Unpooled.EMPTY_BUFFER);
                failed.setDecoderResult(
                        DecoderResult.failure(
                                new TooLongFrameException(
                                        "Too many bytes outside of the response's body.")));
                parts.add(failed);
            }
        }

        private void count(Object part) {
            if (part instanceof HttpResponse head) {
                mInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (part instanceof HttpContent content) {
                mResponse.onBody(content.content().readableBytes());
            }
            if (part instanceof LastHttpContent && !mInterim) {
                mResponse.onEnd();
            }
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage response) {
            return mBodiless || super.isContentAlwaysEmpty(response);
        }

        /**
         * Rejects a response with both Content-Length and chunked coding (RFC 9112, 6.3). Its end
         * is ambiguous, so a truncated response could look complete.
         */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "The response has both Content-Length and chunked coding.");
        }
    }
}
