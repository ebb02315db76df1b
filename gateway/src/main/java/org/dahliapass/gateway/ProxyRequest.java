package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.traffic.SlotRequest;

/**
 * One caller's request after it was matched with a route.
 *
 * @param id the caller's own id of this attempt
 * @param version the configuration version that the route belongs to
 * @param route its route
 * @param service the service that was chosen of the route's
 * @param kind the route's requests as the traffic decisions know them
 * @param path the path and query as the caller sent them
 * @param method its method
 * @param headers its headers as the caller sent them
 * @param body its whole body, on the heap
 * @param arrivalMillis when it arrived, in milliseconds
 * @param deadlineMillis when its answer is of no more use, in milliseconds: the caller has left or
 *     the route's timeout is over
 */
record ProxyRequest(
        String id,
        long version,
        RouteRule route,
        String service,
        RequestKind kind,
        String path,
        HttpMethod method,
        HttpHeaders headers,
        ByteBuf body,
        long arrivalMillis,
        long deadlineMillis)
        implements SlotRequest {
    @Override
    public String customer() {
        return route.host();
    }

    /** Returns what this request has in common with others like it. */
    RequestDigest digest() {
        return RequestDigest.of(
                method.name(),
                headers.get(HttpHeaderNames.HOST, ""),
                path,
                headers.get(HttpHeaderNames.AUTHORIZATION, ""),
                body.nioBuffer());
    }

    /** Returns the milliseconds that are left, 0 at least. */
    long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
