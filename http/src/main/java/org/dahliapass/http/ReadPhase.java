package org.dahliapass.http;

/** What a server connection waits for, with the timeout that applies. */
enum ReadPhase {
    /** The next request, while no request is unanswered. */
    IDLE {
        @Override
        long maxMillis(ServerTimeouts timeouts) {
            return timeouts.idle().toMillis();
        }
    },
    /** The rest of a request's head. */
    HEAD {
        @Override
        long maxMillis(ServerTimeouts timeouts) {
            return timeouts.head().toMillis();
        }
    },
    /** More of a request's body. */
    BODY {
        @Override
        long maxMillis(ServerTimeouts timeouts) {
            return timeouts.body().toMillis();
        }
    },
    /** A response, whose time is limited by the handler. */
    RESPONSE {
        @Override
        long maxMillis(ServerTimeouts timeouts) {
            return Long.MAX_VALUE;
        }
    };

    /** Returns how long this phase may last, in milliseconds. */
    abstract long maxMillis(ServerTimeouts timeouts);
}
