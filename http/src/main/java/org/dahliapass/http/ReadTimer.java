package org.dahliapass.http;

import java.time.Clock;

/** Measures how long a connection has been waiting for its client. */
final class ReadTimer {
    private final Clock mClock;
    private ReadPhase mPhase = ReadPhase.IDLE;
    private long mStartMillis;

    ReadTimer(Clock clock) {
        mClock = clock;
        mStartMillis = clock.millis();
    }

    /** Returns what the connection waits for. */
    ReadPhase phase() {
        return mPhase;
    }

    /** Enters a phase; does nothing if the connection is already in it. */
    void enter(ReadPhase phase) {
        if (mPhase != phase) {
            mPhase = phase;
            restart();
        }
    }

    /** Starts the time of the current phase again. */
    void restart() {
        mStartMillis = mClock.millis();
    }

    /** Returns whether the current phase has exceeded its timeout. */
    boolean isExpired(ServerTimeouts timeouts) {
        return elapsedMillis() > mPhase.maxMillis(timeouts);
    }

    /** Returns the time in the current phase, in milliseconds. */
    long elapsedMillis() {
        return mClock.millis() - mStartMillis;
    }
}
