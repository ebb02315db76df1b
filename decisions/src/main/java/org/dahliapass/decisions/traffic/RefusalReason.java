package org.dahliapass.decisions.traffic;

/** Why a request was refused before it was sent anywhere: it was not run. */
public enum RefusalReason {
    /** No target may take new work of this kind. */
    NO_TARGET,
    /** The queue, or the customer's part of it, is full. */
    QUEUE_FULL,
    /** By the measured rate no slot frees in time. */
    TOO_LATE,
    /** It waited as long as its kind's patience or its deadline allows. */
    WAIT_TIMED_OUT
}
