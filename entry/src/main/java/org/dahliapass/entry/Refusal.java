package org.dahliapass.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Locale;
import java.util.Optional;

/**
 * A final response by this VM in place of a target's response.
 *
 * @param code the reason
 * @param message the problem and what the caller can do about it
 * @param retryAfterMillis the delay before a retry; sent only if the code is retryable
 * @param token a new token for an at-most-once request, empty if none is needed
 */
public record Refusal(
        RefusalCode code, String message, long retryAfterMillis, Optional<String> token) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /** Creates a refusal without a token. */
    public static Refusal of(RefusalCode code, String message, long retryAfterMillis) {
        return new Refusal(code, message, retryAfterMillis, Optional.empty());
    }

    /** Returns a copy with another delay before a retry, in milliseconds. */
    public Refusal withRetryAfter(long millis) {
        return new Refusal(code, message, millis, token);
    }

    /** Returns a copy with a token. */
    public Refusal withToken(String newToken) {
        return new Refusal(code, message, retryAfterMillis, Optional.of(newToken));
    }

    /** Returns the HTTP response, which carries the request id for later lookup. */
    public HttpResponse toResponse(String requestId) {
        return toResponse(requestId, code.outcome());
    }

    /** Returns the HTTP response if the operation may have run by another request. */
    HttpResponse toResponseWithUnknownOutcome(String requestId) {
        return toResponse(requestId, RefusalCode.Outcome.UNKNOWN);
    }

    private HttpResponse toResponse(String requestId, RefusalCode.Outcome outcome) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(code.status())
                        .contentType(MediaType.JSON)
                        .set(CallerHeaders.OUTCOME, outcome.text())
                        .set(CallerHeaders.REQUEST_ID, requestId);
        if (code.isRetryable()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(retryAfterSeconds()));
        }
        token.ifPresent(text -> headers.set(CallerHeaders.OPERATION_TOKEN, text));
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(body(requestId, outcome)));
    }

    private long retryAfterSeconds() {
        return Math.max(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private String body(String requestId, RefusalCode.Outcome outcome) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("requestId", requestId);
        node.put("reason", code.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        node.put("outcome", outcome.text());
        node.put("message", message);
        if (code.isRetryable()) {
            node.put("retryAfterSeconds", retryAfterSeconds());
        }
        token.ifPresent(text -> node.put("token", text));
        return node.toString() + "\n";
    }
}
