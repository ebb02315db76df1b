package org.dahliapass.http;

import io.netty.channel.ChannelPipeline;

/**
 * Makes a client connection receive only what HTTP/1.1 allows as a response, whichever codec
 * decodes it.
 */
public final class ResponseValidation {
    private ResponseValidation() {}

    /**
     * Adds the validation to a client connection that carries one request at a time, without
     * encryption or an upgrade to another protocol; its codec is to be added behind it.
     */
    public static void install(ChannelPipeline pipeline) {
        pipeline.addFirst(new OrderlyEndHandler(), new ResponseValidationHandler());
    }
}
