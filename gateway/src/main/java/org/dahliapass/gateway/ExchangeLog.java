package org.dahliapass.gateway;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.RequestDigest;

/** Writes one line to the log for each request, with all its attempts. */
final class ExchangeLog {
    private final ServerCall mCall;
    private final ProxyRequest mRequest;
    private final Clock mClock;
    private final EventLog mLog;
    private final WaitLog mWaits;
    private final List<JsonObject> mAttempts = new ArrayList<>();

    ExchangeLog(ServerCall call, ProxyRequest request, Clock clock, EventLog log, WaitLog waits) {
        mCall = call;
        mRequest = request;
        mClock = clock;
        mLog = log;
        mWaits = waits;
    }

    /** Adds an attempt that has ended. */
    void add(Attempt attempt, String end) {
        mAttempts.add(attempt.describe(end));
    }

    /**
     * Writes the line.
     *
     * @param status the status of the response; 0 for none
     * @param callerLeft whether the caller disconnected before the response
     * @param digest the digest, if it was needed
     */
    void write(int status, String outcome, boolean callerLeft, Optional<RequestDigest> digest) {
        long now = mClock.millis();
        mLog.write(
                EventLog.Kind.REQUEST,
                "request",
                line -> {
                    line.put("id", mRequest.id())
                            .put("route", mRequest.route().name())
                            .put("version", mRequest.version())
                            .put("customer", mRequest.customer())
                            .put("kind", mRequest.kind().name())
                            .put("service", mRequest.service())
                            .put("relayed", mRequest.isRelayed())
                            .put("took_ms", now - mRequest.arrivalMillis())
                            .put("left_ms", mRequest.deadlineMillis() - now)
                            .put("status", status)
                            .put("outcome", outcome)
                            .put("connection_age_ms", mCall.receiveTimes().connectionAgeMillis())
                            .put("max_unread_ms", mCall.receiveTimes().maxUnreadMillis())
                            .put("waits_ms", mWaits.toJson(now))
                            .putList("offers", mAttempts);
                    if (callerLeft) {
                        line.put("max_unnoticed_ms", mCall.maxUnnoticedMillis());
                    }
                    digest.ifPresent(known -> line.put("digest", known.hex()));
                });
    }

    /** Writes that a response was cut, because its target didn't complete it in time. */
    void writeCut() {
        long tookMillis = mClock.millis() - mRequest.arrivalMillis();
        long timeoutMillis = mRequest.route().timeout().toMillis();
        mLog.write(
                EventLog.Kind.REQUEST,
                "response_cut",
                line ->
                        line.put("id", mRequest.id())
                                .put("route", mRequest.route().name())
                                .put("took_ms", tookMillis)
                                .put("limit", tookMillis < timeoutMillis ? "caller" : "route"));
    }
}
