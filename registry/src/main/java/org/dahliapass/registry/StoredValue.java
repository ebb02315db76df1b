package org.dahliapass.registry;

/**
 * A value in the store.
 *
 * @param key the key
 * @param value the value, as UTF-8 text
 * @param index the store index of the last write of this value; increases with each write
 */
public record StoredValue(String key, String value, long index) {}
