package org.dahliapass.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Whether this VM takes requests, and what it says to callers when it doesn't. */
public final class Readiness {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final AtomicReference<State> mState = new AtomicReference<>(State.STARTING);

    /** The states of a VM as its callers see it. */
    public enum State {
        /** No configuration yet. */
        STARTING("This VM has no configuration yet. Use another address."),
        /** Requests are served. */
        SERVING(""),
        /** Requests are served, but asks no longer name this VM. */
        LEAVING(""),
        /** A newer configuration may be in force that this VM can't hear of. */
        ISOLATED("This VM is cut off and may hold old configuration. Use another address."),
        /** The process ends. */
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

    /** Returns the state. */
    public State state() {
        return mState.get();
    }

    /** Moves from one state to another; does nothing if the state is another by now. */
    public boolean transition(State from, State to) {
        return mState.compareAndSet(from, to);
    }

    /** Moves to a state whatever the state is. */
    public void set(State to) {
        mState.set(to);
    }

    /** Returns the refusal that callers get in this state; empty if requests are served. */
    Optional<Refusal> refusal() {
        State state = mState.get();
        if (state.serves()) {
            return Optional.empty();
        }
        return Optional.of(Refusal.of(RefusalCode.NOT_SERVING, state.mMessage, RETRY_AFTER_MILLIS));
    }
}
