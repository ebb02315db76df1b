package org.dahliapass.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

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

    /** Sets whether the next response has no body because it answers a HEAD request. */
    void setBodiless(boolean bodiless) {
        mDecoder.mBodiless = bodiless;
    }

    private static final class Decoder extends HttpResponseDecoder {
        private boolean mBodiless;

        private Decoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_HEAD_BYTES)
                            .setMaxHeaderSize(MAX_HEAD_BYTES));
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
