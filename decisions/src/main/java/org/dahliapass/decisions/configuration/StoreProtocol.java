package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** A protocol with the store, one call at a time; the caller does the calls and reports answers. */
public interface StoreProtocol {

    /** Returns the first action. */
    StoreAction start();

    /**
     * Takes the answer to a {@link StoreAction.Read}.
     *
     * @param item the value; empty if the key is absent
     * @param index the value's index; 0 if the key is absent
     */
    StoreAction onRead(Optional<StoreItem> item, long index);

    /** Takes the fact that a {@link StoreAction.Read} got no answer. */
    StoreAction onReadFailed();

    /** Takes the answer to a {@link StoreAction.Swap}. */
    StoreAction onSwap(SwapOutcome answer);
}
