package org.dahliapass.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Encodes requests and decodes answers of one connection, strictly. */
final class ClientCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    private static final int MOST_HEAD_BYTES = 64 * 1024;

    private final Decoder mDecoder;

    ClientCodec() {
        this(new Decoder());
    }

    private ClientCodec(Decoder decoder) {
        super(decoder, new HttpRequestEncoder());
        mDecoder = decoder;
    }

    /** Sets whether the next answer is to a HEAD request, and so has no body. */
    void setBodiless(boolean bodiless) {
        mDecoder.mBodiless = bodiless;
    }

    private static final class Decoder extends HttpResponseDecoder {
        private boolean mBodiless;

        private Decoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MOST_HEAD_BYTES)
                            .setMaxHeaderSize(MOST_HEAD_BYTES));
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage answer) {
            return mBodiless || super.isContentAlwaysEmpty(answer);
        }

        /**
         * Guards against an answer that looks whole and isn't, or whose rest would be taken for the
         * next answer: its length and its chunks say different things of its end (RFC 9112, 6.3).
         */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("Both a length and chunks frame the answer.");
        }
    }
}
