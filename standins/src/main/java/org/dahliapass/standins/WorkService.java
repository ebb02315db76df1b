package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.concurrent.Future;

/** The HTTP service of a target: GET reads, POST executes operations counted by key. */
final class WorkService implements HttpService {
    /**
     * The JSON body of a response.
     *
     * @param path the request's path with its query
     * @param operation the value of {@code X-Operation}; empty if the header is missing
     * @param runs the number of executions of the key's operation; 0 for a read
     */
    record WorkResponse(String path, String operation, int runs) {}

    private static final String NOT_PROCESSED = "x-not-processed";
    private static final String DRAINING = "x-draining";
    private static final String TRUE = "true";

    private final TargetState mState;

    WorkService(TargetState state) {
        mState = state;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        if (mState.isDraining()) {
            return reject(
                    ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE).add(DRAINING, TRUE));
        }
        long streamLength = context.queryParams().getLong("bytes", -1);
        if (!mState.acquireSlot()) {
            return reject(
                    ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                            .add(HttpHeaderNames.RETRY_AFTER, "1"));
        }
        HttpResponseWriter writer = HttpResponse.streaming();
        InFlightRequest inFlight = new InFlightRequest(mState, writer, context.eventLoop());
        Future<?> unused =
                request.aggregate(context.eventLoop())
                        .thenRun(() -> startWork(inFlight, request, streamLength));
        return writer;
    }

    private static HttpResponse reject(ResponseHeadersBuilder headers) {
        return HttpResponse.of(headers.add(NOT_PROCESSED, TRUE).contentLength(0).build());
    }

    private void startWork(InFlightRequest inFlight, HttpRequest request, long streamLength) {
        RequestOutcome outcome = mState.drawOutcome();
        if (outcome == RequestOutcome.FAIL_BEFORE_RUN) {
            inFlight.fail(HttpStatus.INTERNAL_SERVER_ERROR);
            return;
        }
        mState.countServed();
        int runs = countRun(request);
        Long deadlineMillis = request.headers().getLong("x-request-timeout-ms");
        if (deadlineMillis != null) {
            inFlight.schedule(deadlineMillis, () -> inFlight.fail(HttpStatus.GATEWAY_TIMEOUT));
        }
        if (outcome != RequestOutcome.STALL) {
            inFlight.schedule(
                    mState.serviceTimeMillis(),
                    () -> finishWork(inFlight, request, outcome, streamLength, runs));
        }
    }

    private int countRun(HttpRequest request) {
        return request.method() == HttpMethod.POST
                ? mState.countRun(request.headers().get("idempotency-key", ""))
                : 0;
    }

    private static void finishWork(
            InFlightRequest inFlight,
            HttpRequest request,
            RequestOutcome outcome,
            long streamLength,
            int runs) {
        if (outcome == RequestOutcome.FAIL_AFTER_RUN) {
            inFlight.fail(HttpStatus.INTERNAL_SERVER_ERROR);
            return;
        }
        boolean closeEarly = outcome == RequestOutcome.CLOSE_EARLY;
        if (streamLength >= 0) {
            inFlight.stream(streamLength, closeEarly);
            return;
        }
        String operation = request.headers().get("x-operation", "");
        inFlight.respond(
                HttpResponses.encode(new WorkResponse(request.path(), operation, runs)),
                closeEarly);
    }
}
