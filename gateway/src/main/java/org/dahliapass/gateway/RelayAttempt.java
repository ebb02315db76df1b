package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Clock;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.ClientCall;
import org.dahliapass.http.HopByHopHeaders;
import org.dahliapass.http.NotSentException;
import org.dahliapass.http.ResponseListener;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.TargetHeaders;

/**
 * One attempt to have a request served by another VM. That VM retries and hedges it as its own; it
 * promises by its status whether the request was executed. Confined to the traffic thread.
 */
final class RelayAttempt implements Attempt, ResponseListener {
    /** The statuses by which a VM promises that it did not have a request executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES =
            Set.of(400, 401, 404, 408, 413, 421, 429, 431, 503);

    /** Leaves time for the response of the other VM before this VM's own deadline. */
    private static final long NETWORK_ALLOWANCE_MILLIS = 10;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final ProxyRequest mRequest;
    private final FleetVm mVm;
    private final RelayHeader mHeader;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final AttemptCause mCause;
    private final BooleanSupplier mIsCallerConnected;
    private final Consumer<String> mOnLeavingTarget;
    private final RequestCharges mCharges;
    private final CompletableFuture<AttemptResult> mResult = new CompletableFuture<>();
    private ClientCall mCall;
    private ResponseCollector mCollector;
    private long mStartedMillis;
    private ArrivalCharge mCharge = ArrivalCharge.UNSENT;
    private boolean mSent;
    private boolean mDropped;

    RelayAttempt(
            ProxyRequest request,
            FleetVm vm,
            RelayHeader header,
            TargetConnections connections,
            Clock clock,
            AttemptCause cause,
            BooleanSupplier isCallerConnected,
            Consumer<String> onLeavingTarget,
            RequestCharges charges) {
        mCharges = charges;
        mRequest = request;
        mVm = vm;
        mHeader = header;
        mConnections = connections;
        mClock = clock;
        mCause = cause;
        mIsCallerConnected = isCallerConnected;
        mOnLeavingTarget = onLeavingTarget;
    }

    /** Sends the request. The future completes with the other VM's response or a failure. */
    CompletableFuture<AttemptResult> send() {
        mStartedMillis = mClock.millis();
        HttpHeaders headers = new DefaultHttpHeaders().set(mRequest.headers());
        HopByHopHeaders.strip(headers, TargetRequestHead.ALWAYS_FORWARDED);
        headers.set(RelayHeader.NAME, mHeader.format());
        mCall =
                mConnections
                        .client()
                        .send(
                                endpoint(),
                                mRequest.method(),
                                mRequest.path(),
                                headers,
                                mRequest.body(),
                                this);
        return mResult;
    }

    /**
     * Records that the other VM has ended the request.
     *
     * @param hasReachedTarget whether the request may have reached a target there
     */
    void onEnded(boolean hasReachedTarget) {
        mCharges.onRelayEnded(mCharge, hasReachedTarget);
    }

    /** Returns the VM that is asked to serve the request. */
    FleetVm vm() {
        return mVm;
    }

    private Endpoint endpoint() {
        return mVm.peerEndpoint();
    }

    @Override
    public boolean isSent() {
        return mSent;
    }

    /** The other VM notices the disconnection and runs on what must not be aborted. */
    @Override
    public boolean endsWithCaller() {
        return true;
    }

    @Override
    public void abort(FailureKind kind) {
        onEnded(true);
        if (mCollector != null) {
            mCollector.discard();
        }
        if (mCall != null) {
            mCall.abort();
        }
    }

    @Override
    public JsonObject describe(String end) {
        JsonObject entry = new JsonObject();
        entry.put("vm", mVm.name())
                .put("sent_after_ms", mStartedMillis - mRequest.arrivalMillis())
                .put("took_ms", mClock.millis() - mStartedMillis)
                .put("cause", mCause.name().toLowerCase(Locale.ROOT))
                .put("end", end);
        mCharge.describe(entry);
        return entry;
    }

    @Override
    public boolean onConnected(HttpHeaders headers, boolean reused) {
        try {
            return prepareToWrite(headers);
        } catch (RuntimeException | Error failure) {
            // Nothing is written if this method returns false.
            mSent = false;
            mDropped = true;
            endUnexpectedly(failure);
            return false;
        }
    }

    /** Runs a step of the response, which ends the attempt after an unexpected exception. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            endUnexpectedly(failure);
        }
    }

    private void endUnexpectedly(Throwable failure) {
        UnexpectedFailures failures = mConnections.failures();
        failures.runAtEnd(mRequest.id(), () -> abort(FailureKind.CANCELLED_BY_CALLER));
        if (mCollector != null && mCollector.isStreaming()) {
            failures.runAtEnd(mRequest.id(), mCollector::abort);
        }
        if (!mResult.completeExceptionally(failure)) {
            failures.onRequestFailed(UnexpectedFailures.Step.RESPOND, mRequest.id(), failure);
        }
    }

    private boolean prepareToWrite(HttpHeaders headers) {
        long remaining = mRequest.remainingMillis(mClock.millis()) - NETWORK_ALLOWANCE_MILLIS;
        if (remaining <= 0 || !mIsCallerConnected.getAsBoolean()) {
            mDropped = true;
            return false;
        }
        headers.set(TargetHeaders.REMAINING_MILLIS, Long.toString(remaining));
        mSent = true;
        mCharge = mCharges.onPassedOn();
        return true;
    }

    @Override
    public void onHead(HttpResponse head) {
        guard(() -> receiveHead(head));
    }

    private void receiveHead(HttpResponse head) {
        int status = head.status().code();
        ResponseCheck check = ResponseCheck.of(status, head.headers(), mRequest.id());
        if (check == ResponseCheck.VALID) {
            RelayHeader.leaving(head.headers()).ifPresent(mOnLeavingTarget);
            head.headers().remove(RelayHeader.NAME);
            mCollector =
                    new ResponseCollector(
                            head, mCall::setAutoRead, this::abort, mConnections.memory());
            return;
        }
        if (check == ResponseCheck.MISMATCHED) {
            mCall.abort();
            fail(check.failureKind(), check.cause() + " (status " + status + ")");
            return;
        }
        mCall.discardRest();
        if (NOT_EXECUTED_STATUSES.contains(status)) {
            mResult.complete(
                    new AttemptResult.Refused(
                            endpoint(),
                            status,
                            retryAfterMillis(head.headers()),
                            isVmUnavailable(status, head.headers()),
                            RelayHeader.UNAVAILABLE_AFTER_ATTEMPT.equals(
                                    head.headers().get(RelayHeader.NAME))));
            return;
        }
        fail(
                status == GatewayResponses.TIMEOUT
                        ? FailureKind.TIMED_OUT
                        : FailureKind.RESET_AFTER_SEND,
                "the VM responded with status " + status);
    }

    /**
     * Returns whether another VM may serve the request: this one says that it can't serve any, or
     * it doesn't know the route, as one of an older release or configuration.
     */
    private static boolean isVmUnavailable(int status, HttpHeaders headers) {
        boolean isRefused =
                status == GatewayResponses.UNAVAILABLE
                        || status == GatewayResponses.TOO_MANY_REQUESTS;
        String statement = headers.get(RelayHeader.NAME, "");
        return !isRefused
                || RelayHeader.UNAVAILABLE.equals(statement)
                || RelayHeader.UNAVAILABLE_AFTER_ATTEMPT.equals(statement);
    }

    private static long retryAfterMillis(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER, "0");
        try {
            return Math.round(Double.parseDouble(value) * MILLIS_PER_SECOND);
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    @Override
    public void onData(ByteBuf chunk) {
        if (mCollector != null) {
            guard(() -> receiveData(chunk));
        }
    }

    private void receiveData(ByteBuf chunk) {
        mCollector.add(chunk).ifPresent(this::complete);
        if (mCollector.isTooLarge()) {
            fail(FailureKind.RESET_AFTER_SEND, "the response is larger than one may be");
            mCall.abort();
        }
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        if (mCollector != null) {
            guard(() -> mCollector.end(trailers).ifPresent(this::complete));
        }
    }

    private void complete(CallerResponse response) {
        mResult.complete(new AttemptResult.Responded(endpoint(), mCollector.status(), response));
    }

    @Override
    public void onFailure(Throwable failure) {
        guard(() -> endWithFailure(failure));
    }

    private void endWithFailure(Throwable failure) {
        if (mDropped) {
            mResult.complete(new AttemptResult.Dropped(endpoint()));
        } else if (mCollector != null && mCollector.isStreaming()) {
            mCollector.abort();
        } else if (failure instanceof NotSentException) {
            fail(FailureKind.CONNECT_FAILED, failure.toString());
        } else {
            fail(FailureKind.RESET_AFTER_SEND, failure.toString());
        }
    }

    private void fail(FailureKind kind, String cause) {
        if (mCollector != null) {
            mCollector.discard();
        }
        mResult.complete(new AttemptResult.Failed(endpoint(), kind, cause));
    }
}
