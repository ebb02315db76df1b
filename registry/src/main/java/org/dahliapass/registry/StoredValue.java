package org.dahliapass.registry;

/**
 * A value as the store holds it.
 *
 * @param key the key
 * @param value the value, UTF-8 text
 * @param index the store's index of the write that left this value; grows with each write
 */
public record StoredValue(String key, String value, long index) {}
