package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.random.RandomGenerator;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.kernel.JsonObject;

/** The responses that a gateway VM creates itself instead of forwarding those of targets. */
final class GatewayResponses {
    static final int UNAUTHENTICATED = 401;
    static final int NOT_FOUND = 404;
    static final int TOO_MANY_REQUESTS = 429;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int TIMEOUT = 504;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** The maximum share of the remaining time that a caller is told to wait. */
    private static final double MAX_WAIT_SHARE = 1.0 / 3;

    /** About the time until a slot of a target is released. */
    private static final long MIN_WAIT_MILLIS = 150;

    private final RandomGenerator mRandom;

    GatewayResponses(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns a random Retry-After delay, in milliseconds, which spreads the retries of callers.
     *
     * @param remainingMillis the time left until the deadline, in milliseconds
     */
    long retryAfterMillis(long remainingMillis) {
        double maxMillis = remainingMillis * MAX_WAIT_SHARE;
        double rangeMillis = Math.max(0, maxMillis - MIN_WAIT_MILLIS);
        return Math.round(MIN_WAIT_MILLIS + rangeMillis * mRandom.nextDouble());
    }

    /** Returns the 503 response to a request that has not run and never will. */
    CallerResponse refused(long retryAfterMillis) {
        return response(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                retryAfterMillis,
                "The request was not run. Come back after the time in Retry-After.");
    }

    /**
     * Returns the 503 response to a request of another VM, if this VM can't serve any.
     *
     * @param hasReachedTarget whether the request was sent to a target, which did not run it
     */
    CallerResponse relayUnavailable(boolean hasReachedTarget) {
        ServerResponse response = ServerResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers()
                .set(
                        RelayHeader.NAME,
                        hasReachedTarget
                                ? RelayHeader.UNAVAILABLE_AFTER_ATTEMPT
                                : RelayHeader.UNAVAILABLE);
        return CallerResponse.buffered(response);
    }

    /**
     * Returns the 429 response to a request beyond its customer's rate limit, which has not run.
     *
     * @param waitMillis the time until the limit allows a request, in milliseconds; callers are
     *     told up to twice as long, so that they don't all return at once
     */
    CallerResponse rateLimited(long waitMillis) {
        return limited(Math.round(waitMillis * (1 + mRandom.nextDouble())));
    }

    /** Returns the 429 response to a request beyond its customer's rate limit. */
    CallerResponse limited(long retryAfterMillis) {
        return response(
                HttpResponseStatus.TOO_MANY_REQUESTS,
                retryAfterMillis,
                "The request was not run: the customer's rate limit is used up. Come back after the"
                        + " time in Retry-After.");
    }

    /** Returns the 503 response to a quarantined request, which has not run. */
    CallerResponse quarantined(long retryAfterMillis) {
        return response(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                retryAfterMillis,
                "The request was not run: targets ended under requests like it. Come back after"
                        + " the time in Retry-After.");
    }

    /** Returns the 502 response to a request that may have run but got no response. */
    CallerResponse failed() {
        return response(
                HttpResponseStatus.BAD_GATEWAY,
                0,
                "A target failed while it had the request, which may have run.");
    }

    /** Returns the 504 response to a request whose deadline passed while a target had it. */
    CallerResponse timedOut() {
        return response(
                HttpResponseStatus.GATEWAY_TIMEOUT,
                0,
                "The time is over while a target had the request, which may have run.");
    }

    /** Returns the 404 response to a request that matches no route. */
    CallerResponse noRoute() {
        return response(HttpResponseStatus.NOT_FOUND, 0, "No route takes this host and path.");
    }

    /** Returns the 401 response to a request without a key of a customer. */
    CallerResponse unauthenticated() {
        ServerResponse response =
                ServerResponse.json(
                        HttpResponseStatus.UNAUTHORIZED,
                        new JsonObject()
                                .put("message", "The request has no key of a customer.")
                                .toString());
        response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
        return CallerResponse.buffered(response);
    }

    /** Returns the 400 response to a request without an attempt id. */
    CallerResponse missingAttemptId() {
        return response(HttpResponseStatus.BAD_REQUEST, 0, "The request has no attempt id.");
    }

    /** Returns the 431 response to a request whose head is too large. */
    CallerResponse headTooLarge() {
        return response(
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                0,
                "The head is larger than allowed. Send fewer or shorter headers.");
    }

    /** Returns the 413 response to a request whose body is too large. */
    CallerResponse bodyTooLarge() {
        return response(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0, "The body is larger than allowed.");
    }

    private static CallerResponse response(
            HttpResponseStatus status, long retryAfterMillis, String message) {
        ServerResponse response =
                ServerResponse.json(status, new JsonObject().put("message", message).toString());
        if (retryAfterMillis > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        return CallerResponse.buffered(response);
    }
}
