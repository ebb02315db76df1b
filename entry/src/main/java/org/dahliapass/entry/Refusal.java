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
 * A final answer that this VM gives in place of a target's.
 *
 * @param code why
 * @param message what is wrong and what the caller may do
 * @param retryAfterMillis when to come back; sent only where the reason makes that worthwhile
 * @param token a fresh token for a guarded request, empty if none is needed
 */
public record Refusal(
        RefusalCode code, String message, long retryAfterMillis, Optional<String> token) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /** Creates a refusal that says when to come back and needs no token. */
    public static Refusal of(RefusalCode code, String message, long retryAfterMillis) {
        return new Refusal(code, message, retryAfterMillis, Optional.empty());
    }

    /** Returns the same refusal with another time to come back. */
    public Refusal withRetryAfter(long millis) {
        return new Refusal(code, message, millis, token);
    }

    /** Returns the same refusal with a fresh token. */
    public Refusal withToken(String freshToken) {
        return new Refusal(code, message, retryAfterMillis, Optional.of(freshToken));
    }

    /** Returns the HTTP answer, which carries the request's id so that it can be looked up. */
    public HttpResponse toResponse(String requestId) {
        return toResponse(requestId, code.outcome());
    }

    /** Returns the HTTP answer to a try whose operation may have run by another one. */
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
