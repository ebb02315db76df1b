package org.dahliapass.decisions.configuration;

import java.util.Optional;

/**
 * A protocol with the store as a state machine; the caller performs one action at a time and
 * reports the result.
 */
public interface StoreProtocol {

    /** Returns the first action. */
    StoreAction start();

    /**
     * Returns the next action after the result of a {@link StoreAction.Read}.
     *
     * @param item the value; empty if the key is absent
     * @param index the value's index; 0 if the key is absent
     */
    StoreAction onRead(Optional<StoreItem> item, long index);

    /** Returns the next action after a failed {@link StoreAction.Read}. */
    StoreAction onReadFailed();

    /** Returns the next action after a {@link StoreAction.Swap}. */
    StoreAction onSwap(SwapOutcome outcome);
}
