package org.dahliapass.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * A codec that encodes requests and decodes responses of one connection. What it decodes was
 * validated by a {@link ResponseValidationHandler}.
 */
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
    }
}
