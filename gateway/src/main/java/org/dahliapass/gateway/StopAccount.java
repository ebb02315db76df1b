package org.dahliapass.gateway;

import java.time.Clock;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.platform.TargetHeaders;

/** Accounts for the responses that end while a VM stops. Thread-safe. */
final class StopAccount {
    private final Clock mClock;
    private final EventLog mLog;
    private final long mStartMillis;
    private final AtomicLong mDelivered = new AtomicLong();
    private final AtomicLong mUndelivered = new AtomicLong();

    /** Begins the account at the start of the stop. */
    StopAccount(Clock clock, EventLog log) {
        mClock = clock;
        mLog = log;
        mStartMillis = clock.millis();
    }

    /** Counts a response of which no more will be written, and logs one that is not whole. */
    void onDelivered(ServerCall call, ServerCall.Delivery delivery) {
        if (delivery.whole()) {
            mDelivered.incrementAndGet();
            return;
        }
        mUndelivered.incrementAndGet();
        mLog.write(
                EventLog.Kind.REQUEST,
                "response_undelivered",
                line ->
                        line.put("id", call.head().headers().get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("body_bytes", delivery.bytes())
                                .put("started", call.isResponseStarted())
                                .put("stopping_ms", mClock.millis() - mStartMillis));
    }

    /** Adds the account to a line of the log. */
    void describe(JsonObject line) {
        line.put("stopping_ms", mClock.millis() - mStartMillis)
                .put("delivered", mDelivered.get())
                .put("undelivered", mUndelivered.get());
    }
}
