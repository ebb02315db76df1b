package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Follows the answer to a request that was sent; runs on the client's event loop. */
public interface ResponseListener {
    /** The head has come; informational ones before it are left out. */
    void onHead(HttpResponse head);

    /** A piece of the body has come; the buffer is valid during the call only. */
    void onData(ByteBuf piece);

    /** The answer is whole. */
    void onEnd(HttpHeaders trailers);

    /**
     * The answer ends early, or there is none.
     *
     * @param failure a {@link NotSentException} if nothing of the request was sent
     */
    void onFailure(Throwable failure);
}
