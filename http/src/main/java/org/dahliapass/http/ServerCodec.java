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

/** Decodes requests and encodes answers of one connection, strictly. */
final class ServerCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** Well over what operators allow, so that a head they refuse is answered and not cut. */
    private static final int MOST_HEAD_BYTES = 64 * 1024;

    private final Encoder mEncoder;

    /**
     * Creates a codec.
     *
     * @param onBytes run when any bytes arrive, before they are decoded
     */
    ServerCodec(Runnable onBytes) {
        this(new Decoder(onBytes), new Encoder());
    }

    private ServerCodec(Decoder decoder, Encoder encoder) {
        super(decoder, encoder);
        mEncoder = encoder;
    }

    /** Sets whether the next answer is to a HEAD request, and so has no body. */
    void setBodiless(boolean bodiless) {
        mEncoder.mBodiless = bodiless;
    }

    private static final class Decoder extends HttpRequestDecoder {
        private final Runnable mOnBytes;
        private final FramingValidator mLines = new FramingValidator();

        private Decoder(Runnable onBytes) {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MOST_HEAD_BYTES)
                            .setMaxHeaderSize(MOST_HEAD_BYTES));
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
            mLines.onBytes(bytes, from, bytes.readerIndex());
            if (mLines.isMalformed()) {
                dropMalformed(parts.subList(before, parts.size()));
                parts.add(malformed());
                return;
            }
            parts.subList(before, parts.size()).forEach(this::onPart);
        }

        /** Drops what would run a request, and a chunk whose size can't be told. */
        private void dropMalformed(List<Object> parts) {
            boolean keepsChunk = mLines.isMalformedAfterChunk();
            Iterator<Object> each = parts.iterator();
            while (each.hasNext()) {
                Object part = each.next();
                boolean runs = part instanceof HttpRequest || part instanceof LastHttpContent;
                if (runs || !keepsChunk) {
                    each.remove();
                    ReferenceCountUtil.release(part);
                }
            }
        }

        /** Returns what ends a request whose framing can't be told; nothing behind it is read. */
        private static HttpObject malformed() {
            HttpObject end = new DefaultLastHttpContent();
            end.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException("A line that frames is malformed.")));
            return end;
        }

        private void onPart(Object part) {
            if (part instanceof HttpRequest head && HttpUtil.isTransferEncodingChunked(head)) {
                mLines.onChunkedHead();
            }
            if (part instanceof LastHttpContent) {
                mLines.onRequestEnd();
            }
        }

        /**
         * Guards against request smuggling: a length beside chunks is read one way here and may be
         * read the other way behind, so that a part of the body runs as a request of its own.
         */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException(
                    "Both " + HttpHeaderNames.CONTENT_LENGTH + " and chunks frame the body.");
        }
    }

    private static final class Encoder extends HttpResponseEncoder {
        private boolean mBodiless;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse answer) {
            boolean informational = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            return super.isContentAlwaysEmpty(answer) || (mBodiless && !informational);
        }
    }
}
