package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** A listener for the response to one request; called on the client's event loop. */
public interface ResponseListener {
    /**
     * Called when the connection is open, right before the request is written.
     *
     * @param headers the headers of the request, which may be changed
     * @param reused whether the connection carried another request before
     * @return false if the request is no longer wanted; {@code onFailure} is then called with a
     *     {@link NotSentException}
     */
    default boolean onConnected(HttpHeaders headers, boolean reused) {
        return true;
    }

    /** Called with the response head; informational (1xx) responses are skipped. */
    void onHead(HttpResponse head);

    /** Called with a part of the body; the buffer is valid only during the call. */
    void onData(ByteBuf chunk);

    /** Called when the response is complete. */
    void onEnd(HttpHeaders trailers);

    /**
     * Called when the response ends early or never arrives.
     *
     * @param failure a {@link NotSentException} if no byte of the request was sent
     */
    void onFailure(Throwable failure);
}
