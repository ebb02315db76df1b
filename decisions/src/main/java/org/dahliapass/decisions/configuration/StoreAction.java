package org.dahliapass.decisions.configuration;

/** What a {@link StoreProtocol} wants done next. */
public sealed interface StoreAction {

    /**
     * Read a key.
     *
     * @param key the key
     */
    record Read(StoreKey key) implements StoreAction {}

    /**
     * Compare and swap a key.
     *
     * @param key the key
     * @param item the new value
     * @param index the index that the key must still have; 0 if it must be absent
     */
    record Swap(StoreKey key, StoreItem item, long index) implements StoreAction {}

    /**
     * Nothing more: the outcome is known as well as it can be.
     *
     * @param outcome the outcome
     */
    record Finish(AcceptOutcome outcome) implements StoreAction {}
}
