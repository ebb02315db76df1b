package org.dahliapass.decisions.traffic;

/** Why a request was refused before it was sent to a target. */
public enum RefusalReason {
    /** No target accepts new requests of this kind. */
    NO_TARGET,
    /** All targets have asked this VM for a rest. */
    TARGETS_RESTING,
    /** The targets take no more requests now, by the limits that they named. */
    TARGETS_LIMITED,
    /** The queue, or the customer's part of it, is full. */
    QUEUE_FULL,
    /** A request of a higher priority has taken its place in a full queue. */
    DISPLACED,
    /** No slot is expected to become free in time. */
    TOO_LATE,
    /** The request was queued until its patience or deadline ended. */
    WAIT_TIMED_OUT
}
