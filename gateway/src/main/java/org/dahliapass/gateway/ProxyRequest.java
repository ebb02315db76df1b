package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.Credentials;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.routing.Customer;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.traffic.SlotRequest;

/**
 * A request of a caller that matches a route.
 *
 * @param id the attempt id set by the caller
 * @param version the configuration version of the route
 * @param route the matching route
 * @param service the selected service of the route
 * @param credentials the caller's credentials
 * @param identity for whom the request is executed, by the configuration on its arrival
 * @param kind the request kind for the traffic decisions
 * @param path the path and query as received
 * @param method the HTTP method
 * @param headers the headers as received
 * @param body the complete body, on the heap
 * @param arrivalMillis the arrival time, in milliseconds
 * @param deadlineMillis the time at which the caller gives up or the timeout of the route ends, in
 *     milliseconds
 * @param holdsToken whether this VM holds a token of the customer's rate limit for the request
 * @param relay what the VM says that passed the request on; empty if a caller sent it
 */
record ProxyRequest(
        String id,
        long version,
        RouteRule route,
        String service,
        Credentials credentials,
        CallerIdentity identity,
        RequestKind kind,
        String path,
        HttpMethod method,
        HttpHeaders headers,
        ByteBuf body,
        long arrivalMillis,
        long deadlineMillis,
        boolean holdsToken,
        Optional<RelayHeader> relay)
        implements SlotRequest {
    @Override
    public String customer() {
        return identity.customer().map(Customer::name).orElse(route.host());
    }

    @Override
    public int priority() {
        return identity.customer()
                .map(customer -> customer.priority().orElse(route.priority()))
                .orElse(route.priority());
    }

    /** Returns whether another VM passed the request on to this one. */
    boolean isRelayed() {
        return relay.isPresent();
    }

    /** Returns whether a token of the customer's rate limit has to be taken yet. */
    boolean needsToken() {
        boolean isTaken = holdsToken || relay.map(RelayHeader::isLimited).orElse(false);
        return !isTaken && identity.customer().isPresent();
    }

    /** Returns whether a VM has counted the request as a first attempt of its service. */
    boolean isCounted() {
        return relay.map(RelayHeader::isCounted).orElse(false);
    }

    /** Returns the maximum number of targets that the request may be sent to. */
    int maxTargets() {
        return relay.map(header -> Math.min(header.maxTargets(), route.maxTargets()))
                .orElse(route.maxTargets());
    }

    /** Returns the host that the request is for. */
    String authority() {
        return headers.get(HttpHeaderNames.HOST, "");
    }

    /** Returns the path as received, without the query. */
    String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /** Returns the digest that this request shares with all requests of the same content. */
    RequestDigest digest() {
        return RequestDigest.of(
                method.name(),
                authority(),
                path,
                identity.forwardsCredentials()
                        ? headers.get(HttpHeaderNames.AUTHORIZATION, "")
                        : customer(),
                body.nioBuffer());
    }

    /** Returns the time until the deadline, in milliseconds; at least 0. */
    long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
