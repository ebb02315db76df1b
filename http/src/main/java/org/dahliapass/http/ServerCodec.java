package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
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
        private final HeadLines mLines = new HeadLines();

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
            mLines.onBytes(bytes);
            int before = parts.size();
            super.decode(context, bytes, parts);
            parts.subList(before, parts.size()).forEach(this::onPart);
        }

        private void onPart(Object part) {
            if (part instanceof HttpRequest head && mLines.onHeadEnd()) {
                head.setDecoderResult(
                        DecoderResult.failure(
                                new IllegalArgumentException("A line of the head is malformed.")));
            }
            if (part instanceof LastHttpContent) {
                mLines.onRequestEnd();
            }
        }

        @Override
        protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
            mLines.onWord(line, start, length);
            return super.splitFirstWordInitialLine(line, start, length);
        }

        @Override
        protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
            mLines.onWord(line, start, length);
            return super.splitSecondWordInitialLine(line, start, length);
        }

        @Override
        protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
            mLines.onWord(line, start, length);
            return super.splitThirdWordInitialLine(line, start, length);
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
