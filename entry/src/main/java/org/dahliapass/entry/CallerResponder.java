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

/** Gives callers their answers and accounts for each of them once. */
final class CallerResponder {
    private static final int MIN_SERVER_ERROR = 500;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final OutcomeHistory mOutcomes;
    private final RefusalLog mRefusals;

    CallerResponder(Clock clock, EntryMetrics metrics, OutcomeHistory burn, RefusalLog refusals) {
        mClock = clock;
        mMetrics = metrics;
        mOutcomes = burn;
        mRefusals = refusals;
    }

    /**
     * Passes a target's answer on; the account is closed when its body has ended.
     *
     * <p>The end is that of the returned message, not of the target's: the latter may come first,
     * while pieces are still on their way to the caller's thread.
     */
    HttpResponse relay(CallerRequest request, AttemptResult.Responded answered) {
        boolean late = isLate(request);
        boolean error = answered.headers().status().code() >= MIN_SERVER_ERROR;
        HttpResponse response =
                HttpResponse.of(headers(request, answered.headers()), answered.body());
        Futures.whenDone(
                response.whenComplete(),
                (ignored, failure) -> recordOutcome(request, outcome(failure, error, late)));
        return response;
    }

    /**
     * Answers with a refusal and keeps it, so that the caller's operator can look it up. A repeat
     * of a key that is running is no request of its own: the first one is accounted for.
     */
    HttpResponse refuse(CallerRequest request, Refusal refusal) {
        if (refusal.code() != RefusalCode.IN_PROGRESS) {
            recordOutcome(request, outcomeOf(refusal));
        }
        mRefusals.add(mClock.millis(), request.id(), request.route().customer(), refusal);
        return refusal.toResponse(request.id());
    }

    /** Accounts for an answer that was recorded earlier. */
    void onReplayed(CallerRequest request) {
        recordOutcome(request, Outcome.GOOD);
    }

    /** Accounts for a caller that went away before its answer began: nobody's failure. */
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

    private static ResponseHeaders headers(CallerRequest request, ResponseHeaders answered) {
        ResponseHeadersBuilder headers = answered.toBuilder();
        headers.remove(HttpHeaderNames.CONNECTION);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        return headers.set(CallerHeaders.REQUEST_ID, request.id()).build();
    }
}
