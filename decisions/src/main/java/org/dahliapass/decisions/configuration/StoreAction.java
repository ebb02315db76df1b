package org.dahliapass.decisions.configuration;

/** The next action that a {@link StoreProtocol} requests of its caller. */
public sealed interface StoreAction {

    /** Read a key. */
    record Read(StoreKey key) implements StoreAction {}

    /**
     * Compare and swap a key.
     *
     * @param item the new value
     * @param index the expected index of the key; 0 if the key must be absent
     */
    record Swap(StoreKey key, StoreItem item, long index) implements StoreAction {}

    /** Finish the protocol with an outcome. */
    record Finish(AcceptOutcome outcome) implements StoreAction {}
}
