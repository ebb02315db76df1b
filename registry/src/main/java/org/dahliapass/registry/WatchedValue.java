package org.dahliapass.registry;

import java.util.Optional;

/**
 * The result of a blocking read of a key.
 *
 * @param value the value; empty if the key is absent
 * @param index the index for the next blocking read; lower than the previous one if the store was
 *     restored from a backup
 */
public record WatchedValue(Optional<StoredValue> value, long index) {}
