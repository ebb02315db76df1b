package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.random.RandomGenerator;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.kernel.JsonObject;

/** The answers that this VM gives in place of a target's. */
final class GatewayResponses {
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int TIMEOUT = 504;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Callers wait for a third of the time that they have left at most. */
    private static final double LONGEST_WAIT_SHARE = 1.0 / 3;

    /** The shortest wait, in milliseconds: about the time in which a target's slot comes free. */
    private static final long SHORTEST_WAIT_MILLIS = 150;

    private final RandomGenerator mRandom;

    GatewayResponses(RandomGenerator random) {
        mRandom = random;
    }

    /** Draws when a refused caller shall come back, so that not all come at once. */
    long retryAfterMillis(long remainingMillis) {
        double most = remainingMillis * LONGEST_WAIT_SHARE;
        double spread = Math.max(0, most - SHORTEST_WAIT_MILLIS);
        return Math.round(SHORTEST_WAIT_MILLIS + spread * mRandom.nextDouble());
    }

    /** Refuses a request that has not run and never will. */
    CallerResponse refused(long comeBackMillis) {
        return answer(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                comeBackMillis,
                "The request was not run. Come back after the time in Retry-After.");
    }

    /** Refuses a request that has not run, as targets end under requests like it. */
    CallerResponse quarantined(long comeBackMillis) {
        return answer(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                comeBackMillis,
                "The request was not run: targets ended under requests like it. Come back after"
                        + " the time in Retry-After.");
    }

    /** Ends a request that may have run and got no answer. */
    CallerResponse failed() {
        return answer(
                HttpResponseStatus.BAD_GATEWAY,
                0,
                "A target failed while it had the request, which may have run.");
    }

    /** Ends a request whose time is over while a target had it. */
    CallerResponse timedOut() {
        return answer(
                HttpResponseStatus.GATEWAY_TIMEOUT,
                0,
                "The time is over while a target had the request, which may have run.");
    }

    /** Answers a request that matches no route. */
    CallerResponse noRoute() {
        return answer(HttpResponseStatus.NOT_FOUND, 0, "No route takes this host and path.");
    }

    /** Answers a request that has no id. */
    CallerResponse missingAttemptId() {
        return answer(HttpResponseStatus.BAD_REQUEST, 0, "The request has no attempt id.");
    }

    /** Answers a request whose head is too large. */
    CallerResponse headTooLarge() {
        return answer(
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                0,
                "The head is larger than allowed. Send fewer or shorter headers.");
    }

    /** Answers a request whose body is too large. */
    CallerResponse bodyTooLarge() {
        return answer(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0, "The body is larger than allowed.");
    }

    private static CallerResponse answer(
            HttpResponseStatus status, long comeBackMillis, String message) {
        ServerResponse answer =
                ServerResponse.json(status, new JsonObject().put("message", message).toString());
        if (comeBackMillis > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(comeBackMillis / MILLIS_PER_SECOND));
        }
        return CallerResponse.buffered(answer);
    }
}
