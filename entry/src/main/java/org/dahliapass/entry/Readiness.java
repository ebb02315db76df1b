package org.dahliapass.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The serving state of this VM and the refusal for callers while it does not serve. */
public final class Readiness {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final AtomicReference<State> mState = new AtomicReference<>(State.STARTING);

    /** The states of a VM towards its callers. */
    public enum State {
        /** No configuration is in force yet. */
        STARTING("This VM has no configuration yet. Use another address."),
        /** Requests are served. */
        SERVING(""),
        /** Requests are served, but discovery omits this VM. */
        LEAVING(""),
        /** The VM is isolated and its configuration may be outdated. */
        ISOLATED("This VM is cut off and may hold old configuration. Use another address."),
        /** The process is stopping. */
        STOPPED("This VM is stopping. Use another address.");

        private final String mMessage;

        State(String message) {
            mMessage = message;
        }

        /** Returns whether requests are served. */
        public boolean serves() {
            return mMessage.isEmpty();
        }
    }

    /** Returns the current state. */
    public State state() {
        return mState.get();
    }

    /** Changes the state if it is {@code from}; returns whether it was changed. */
    public boolean transition(State from, State to) {
        return mState.compareAndSet(from, to);
    }

    /** Sets the state unconditionally. */
    public void set(State to) {
        mState.set(to);
    }

    /** Returns the refusal for callers, or empty if requests are served. */
    Optional<Refusal> refusal() {
        State state = mState.get();
        if (state.serves()) {
            return Optional.empty();
        }
        return Optional.of(Refusal.of(RefusalCode.NOT_SERVING, state.mMessage, RETRY_AFTER_MILLIS));
    }
}
