package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;

/**
 * Whether a request may run concurrently with other requests of its connection.
 *
 * <p>Concurrency is decided by the method, whereas repetition is decided by the route: a request
 * that may be sent again can still have an effect that the requests behind it must see.
 */
enum RequestConcurrency {
    /** A safe request without a body: its effect doesn't depend on requests around it. */
    CONCURRENT,
    /** Any other request: runs after all requests before it and before all behind it. */
    EXCLUSIVE;

    private static final Set<HttpMethod> SAFE_METHODS = Set.of(HttpMethod.GET, HttpMethod.HEAD);

    /** Returns the concurrency of a request; a request that will be rejected is exclusive. */
    static RequestConcurrency of(HttpRequest head) {
        boolean isConcurrent =
                SAFE_METHODS.contains(head.method())
                        && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !hasBody(head)
                        && RequestRule.firstRejection(head).isEmpty();
        return isConcurrent ? CONCURRENT : EXCLUSIVE;
    }

    boolean isConcurrent() {
        return this == CONCURRENT;
    }

    private static boolean hasBody(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || HttpUtil.getContentLength(head, 0L) > 0
                || HttpUtil.is100ContinueExpected(head);
    }
}
