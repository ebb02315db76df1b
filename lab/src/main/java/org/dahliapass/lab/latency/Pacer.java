package org.dahliapass.lab.latency;

/** The time by which a load is paced, in nanoseconds since a start that never moves. */
interface Pacer {
    /** Returns the time now, in nanoseconds. */
    long nowNanos();

    /** Returns once the time has come; at once if it has passed. */
    void awaitNanos(long timeNanos);
}
