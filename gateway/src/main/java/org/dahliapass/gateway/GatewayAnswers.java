package org.dahliapass.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.random.RandomGenerator;

/** The answers that this VM gives in place of a target's. */
final class GatewayAnswers {
    static final ObjectMapper JSON = new ObjectMapper();
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int TIMEOUT = 504;

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Callers wait for a third of the time that they have left at most. */
    private static final double LONGEST_WAIT_SHARE = 1.0 / 3;

    /** The shortest wait, in milliseconds: about the time in which a target's slot comes free. */
    private static final long SHORTEST_WAIT_MILLIS = 150;

    private final RandomGenerator mRandom;

    GatewayAnswers(RandomGenerator random) {
        mRandom = random;
    }

    /** Draws when a refused caller shall come back, so that not all come at once. */
    long comeBackMillis(long remainingMillis) {
        double most = remainingMillis * LONGEST_WAIT_SHARE;
        double spread = Math.max(0, most - SHORTEST_WAIT_MILLIS);
        return Math.round(SHORTEST_WAIT_MILLIS + spread * mRandom.nextDouble());
    }

    /** Refuses a request that has not run and never will. */
    HttpResponse refused(long comeBackMillis) {
        return answer(
                HttpStatus.SERVICE_UNAVAILABLE,
                comeBackMillis,
                "The request was not run. Come back after the time in Retry-After.");
    }

    /** Ends a request that may have run and got no answer. */
    HttpResponse failed() {
        return answer(
                HttpStatus.BAD_GATEWAY,
                0,
                "A target failed while it had the request, which may have run.");
    }

    /** Ends a request whose time is over while a target had it. */
    HttpResponse timedOut() {
        return answer(
                HttpStatus.GATEWAY_TIMEOUT,
                0,
                "The time is over while a target had the request, which may have run.");
    }

    /** Answers a request that matches no route. */
    HttpResponse noRoute() {
        return answer(HttpStatus.NOT_FOUND, 0, "No route takes this host and path.");
    }

    /** Answers a request that has no id. */
    HttpResponse noId() {
        return answer(HttpStatus.BAD_REQUEST, 0, "The request has no attempt id.");
    }

    /** Answers a request whose head is too large. */
    HttpResponse headTooLarge() {
        return answer(
                HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                0,
                "The head is larger than allowed. Send fewer or shorter headers.");
    }

    /** Answers a request whose body is too large. */
    HttpResponse tooLarge() {
        return answer(HttpStatus.REQUEST_ENTITY_TOO_LARGE, 0, "The body is larger than allowed.");
    }

    private static HttpResponse answer(HttpStatus status, long comeBackMillis, String message) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(status).contentType(MediaType.JSON);
        if (comeBackMillis > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    Double.toString(comeBackMillis / MILLIS_PER_SECOND));
        }
        String body = JSON.createObjectNode().put("message", message).toString();
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(body));
    }
}
