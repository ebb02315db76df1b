package org.dahliapass.gateway;

import java.util.concurrent.atomic.AtomicReference;

/** Whether this VM takes requests, and whether asks may name it. */
final class GatewayState {
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.STARTING);

    /** The phases of a VM's life, in order. */
    enum Phase {
        /** No configuration yet: requests are refused. */
        STARTING(false, false),
        /** Requests are served. */
        SERVING(true, true),
        /** SIGTERM came: requests are served, but nobody is sent here any more. */
        DRAINING(true, false),
        /** The process ends soon: requests that come now couldn't be served to their end. */
        CLOSING(false, false);

        private final boolean mServes;
        private final boolean mReady;

        Phase(boolean serves, boolean ready) {
            mServes = serves;
            mReady = ready;
        }

        /** Returns whether requests are served. */
        boolean acceptsRequests() {
            return mServes;
        }

        /** Returns whether callers may be sent here. */
        boolean isReady() {
            return mReady;
        }

        /** Returns whether connections shall close after the answer in flight. */
        boolean closesConnections() {
            return this == DRAINING || this == CLOSING;
        }
    }

    /** Returns the phase. */
    Phase phase() {
        return mPhase.get();
    }

    /** Moves on to a phase; one that was passed already stays passed. */
    void advance(Phase to) {
        mPhase.accumulateAndGet(to, (from, wanted) -> from.compareTo(wanted) >= 0 ? from : wanted);
    }
}
