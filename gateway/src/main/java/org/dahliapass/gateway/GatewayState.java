package org.dahliapass.gateway;

import java.util.concurrent.atomic.AtomicReference;

/** The lifecycle phase of a gateway VM. Thread-safe. */
final class GatewayState {
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.STARTING);

    /** The phases of the lifecycle, in order. */
    enum Phase {
        /** There is no configuration yet; requests are rejected. */
        STARTING(false, false),
        /** Requests are served. */
        SERVING(true, true),
        /** After SIGTERM: requests are served, but the VM is no longer advertised to callers. */
        DRAINING(true, false),
        /** Shortly before the exit: requests are rejected, because they could not be completed. */
        CLOSING(false, false);

        private final boolean mAcceptsRequests;
        private final boolean mReady;

        Phase(boolean acceptsRequests, boolean ready) {
            mAcceptsRequests = acceptsRequests;
            mReady = ready;
        }

        /** Returns whether requests are served. */
        boolean acceptsRequests() {
            return mAcceptsRequests;
        }

        /** Returns whether the VM may be advertised to callers. */
        boolean isReady() {
            return mReady;
        }

        /** Returns whether connections are closed after the current response. */
        boolean closesConnections() {
            return this == DRAINING || this == CLOSING;
        }
    }

    Phase phase() {
        return mPhase.get();
    }

    /** Advances to a phase. Has no effect if that phase or a later one is reached already. */
    void advance(Phase target) {
        mPhase.accumulateAndGet(
                target, (current, next) -> current.compareTo(next) >= 0 ? current : next);
    }
}
