package org.dahliapass.registry;

import java.util.Optional;

/**
 * What a blocking read answered.
 *
 * @param value the value, empty if the key is absent
 * @param index the index to hand to the next blocking read; lower than the one before if the store
 *     was restored from a backup
 */
public record WatchedValue(Optional<StoredValue> value, long index) {}
