package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Iterator;
import java.util.List;

/** A codec that strictly decodes requests and encodes responses of one connection. */
final class ServerCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** Well above configurable limits, so that an oversized head still gets a response. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private final Encoder mEncoder;

    /**
     * Creates a codec.
     *
     * @param onBytes called when bytes arrive, before they are decoded
     */
    ServerCodec(Runnable onBytes) {
        this(new Decoder(onBytes), new Encoder());
    }

    private ServerCodec(Decoder decoder, Encoder encoder) {
        super(decoder, encoder);
        mEncoder = encoder;
    }

    /** Sets whether the next response has no body because it answers a HEAD request. */
    void setBodiless(boolean bodiless) {
        mEncoder.mBodiless = bodiless;
    }

    private static final class Decoder extends HttpRequestDecoder {
        private final Runnable mOnBytes;
        private final FramingValidator mFraming = new FramingValidator();

        private Decoder(Runnable onBytes) {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_HEAD_BYTES)
                            .setMaxHeaderSize(MAX_HEAD_BYTES));
            mOnBytes = onBytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            mOnBytes.run();
            super.channelRead(context, message);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
                throws Exception {
            int from = bytes.readerIndex();
            int before = parts.size();
            super.decode(context, bytes, parts);
            mFraming.onBytes(bytes, from, bytes.readerIndex());
            if (mFraming.isMalformed()) {
                dropRequestBoundaries(parts.subList(before, parts.size()));
                parts.add(malformedEnd());
                return;
            }
            parts.subList(before, parts.size()).forEach(this::updateFraming);
        }

        /** Drops the parts that start or end a request, and chunks of unknown size. */
        private void dropRequestBoundaries(List<Object> parts) {
            boolean keepChunk = mFraming.isMalformedAfterChunk();
            Iterator<Object> iterator = parts.iterator();
            while (iterator.hasNext()) {
                Object part = iterator.next();
                boolean isBoundary = part instanceof HttpRequest || part instanceof LastHttpContent;
                if (isBoundary || !keepChunk) {
                    iterator.remove();
                    ReferenceCountUtil.release(part);
                }
            }
        }

        /** Returns the part that ends a malformed request; no later byte is processed. */
        private static HttpObject malformedEnd() {
            HttpObject end = new DefaultLastHttpContent();
            end.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException(
                                    "Malformed request line, header or chunk size.")));
            return end;
        }

        private void updateFraming(Object part) {
            if (part instanceof HttpRequest head && HttpUtil.isTransferEncodingChunked(head)) {
                mFraming.onChunkedHead();
            }
            if (part instanceof LastHttpContent) {
                mFraming.onRequestEnd();
            }
        }

        /**
         * Rejects a request with both Content-Length and chunked coding.
         *
         * <p>Prevents request smuggling: implementations disagree on which one applies, so part of
         * the body could be processed as another request.
         */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "The request has both "
                            + HttpHeaderNames.CONTENT_LENGTH
                            + " and chunked coding; one of them is expected.");
        }
    }

    private static final class Encoder extends HttpResponseEncoder {
        private boolean mBodiless;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            return super.isContentAlwaysEmpty(response) || (mBodiless && !informational);
        }
    }
}
