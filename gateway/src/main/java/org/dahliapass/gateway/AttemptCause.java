package org.dahliapass.gateway;

/** Why a request is sent to a target. */
enum AttemptCause {
    /** The first attempt at a target. */
    FIRST,
    /** An attempt after earlier ones ended without a response for the caller. */
    RETRY,
    /** An attempt beside a slow one. */
    HEDGE
}
