package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/**
 * A complete response to a request.
 *
 * @param status the response status
 * @param headers the headers, without framing headers, which the connection adds
 * @param body the body, in a heap buffer that needs no release
 * @param trailers the trailer fields of a chunked body; usually empty
 */
public record ServerResponse(
        HttpResponseStatus status, HttpHeaders headers, ByteBuf body, HttpHeaders trailers) {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";

    /** Returns a response without a body. */
    public static ServerResponse of(HttpResponseStatus status) {
        return new ServerResponse(
                status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, EmptyHttpHeaders.INSTANCE);
    }

    /** Returns a response with a JSON body. */
    public static ServerResponse json(HttpResponseStatus status, String document) {
        return of(status, JSON, document.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response with a plain-text body, encoded as UTF-8. */
    public static ServerResponse text(HttpResponseStatus status, byte[] text) {
        return of(status, TEXT, text);
    }

    private static ServerResponse of(HttpResponseStatus status, String type, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, type);
        return new ServerResponse(
                status, headers, Unpooled.wrappedBuffer(body), EmptyHttpHeaders.INSTANCE);
    }
}
