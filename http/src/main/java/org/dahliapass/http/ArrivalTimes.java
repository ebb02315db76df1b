package org.dahliapass.http;

import java.time.Clock;

/** Determines for the requests of one connection when they arrived. */
final class ArrivalTimes {
    private final Clock mClock;
    private final PollMonitor mMonitor;
    private final long mAcceptedMillis;
    private boolean mHasReceivedRequest;

    /** Creates the times of a connection that was just accepted. */
    ArrivalTimes(Clock clock, PollMonitor monitor) {
        mClock = clock;
        mMonitor = monitor;
        mAcceptedMillis = monitor.latestPollMillis();
    }

    /** Returns what is known of the time before the head of the next request was read, just now. */
    ServerCall.ReceiveTimes next() {
        boolean isFirst = !mHasReceivedRequest;
        mHasReceivedRequest = true;
        // Clients send their first request right after the connection is established.
        boolean waitedSinceAccept = isFirst && mMonitor.previousPollMillis() <= mAcceptedMillis;
        return new ServerCall.ReceiveTimes(
                waitedSinceAccept ? mAcceptedMillis : mMonitor.latestPollMillis(),
                mClock.millis() - mAcceptedMillis,
                mMonitor.maxReadyMillis());
    }
}
