package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.time.Clock;
import java.util.Locale;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.burn.Outcome;
import org.dahliapass.model.burn.OutcomeHistory;
import org.dahliapass.traffic.EntryMetrics;

/** Responds to callers and records the outcome of each request once. */
final class CallerResponder {
    private static final int MIN_SERVER_ERROR = 500;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final OutcomeHistory mOutcomes;
    private final RefusalLog mRefusals;

    CallerResponder(
            Clock clock, EntryMetrics metrics, OutcomeHistory outcomes, RefusalLog refusals) {
        mClock = clock;
        mMetrics = metrics;
        mOutcomes = outcomes;
        mRefusals = refusals;
    }

    /**
     * Relays a target's response and records its outcome when the body has been sent.
     *
     * <p>The outcome follows the returned response, not the target's: the target's body may end
     * while data is still queued for the caller.
     */
    HttpResponse relay(CallerRequest request, AttemptResult.Responded responded) {
        boolean late = isLate(request);
        boolean error = responded.headers().status().code() >= MIN_SERVER_ERROR;
        HttpResponse response =
                HttpResponse.of(headers(request, responded.headers()), responded.body());
        Futures.whenDone(
                response.whenComplete(),
                (ignored, failure) -> recordOutcome(request, outcome(failure, error, late)));
        return response;
    }

    /**
     * Returns the response to a refused request and logs the refusal for operators.
     *
     * <p>A duplicate of a running operation has no outcome of its own, since the outcome of the
     * first request is recorded.
     */
    HttpResponse refuse(CallerRequest request, Refusal refusal) {
        if (refusal.code() != RefusalCode.IN_PROGRESS) {
            recordOutcome(request, outcomeOf(refusal));
        }
        mRefusals.add(mClock.millis(), request.id(), request.route().customer(), refusal);
        return refusal.toResponse(request.id());
    }

    /** Records the outcome of a request that a replayed result answered. */
    void onReplayed(CallerRequest request) {
        recordOutcome(request, Outcome.GOOD);
    }

    /** Counts a caller that disconnected before its response began; this is not a failure. */
    void onCallerGone(CallerRequest request) {
        mMetrics.onAnswer(
                request.route().customer(),
                request.route().own().name(),
                request.kind().name(),
                "caller-gone");
    }

    private boolean isLate(CallerRequest request) {
        long latency = mClock.millis() - request.arrivalMillis();
        return latency > request.kind().lateAfter().toMillis();
    }

    private void recordOutcome(CallerRequest request, Outcome outcome) {
        RequestKind kind = request.kind();
        String customer = request.route().customer();
        String service = request.route().own().name();
        mMetrics.onAnswer(customer, service, kind.name(), outcome.name().toLowerCase(Locale.ROOT));
        mOutcomes.record(
                customer,
                service,
                kind.name(),
                kind.objective(),
                outcome,
                kind.isBad(outcome),
                mClock.millis());
    }

    private static Outcome outcome(Throwable failure, boolean error, boolean late) {
        if (failure != null) {
            return Outcome.CUT;
        }
        if (error) {
            return Outcome.FAILED;
        }
        return late ? Outcome.LATE : Outcome.GOOD;
    }

    private static Outcome outcomeOf(Refusal refusal) {
        return switch (refusal.code()) {
            case OPERATION_UNKNOWN, DEADLINE_EXCEEDED -> Outcome.UNKNOWN;
            case TARGET_FAILED -> Outcome.FAILED;
            default -> Outcome.REFUSED;
        };
    }

    private static ResponseHeaders headers(CallerRequest request, ResponseHeaders responded) {
        ResponseHeadersBuilder headers = responded.toBuilder();
        headers.remove(HttpHeaderNames.CONNECTION);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        return headers.set(CallerHeaders.REQUEST_ID, request.id()).build();
    }
}
