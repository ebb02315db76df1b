package org.dahliapass.decisions.once;

/**
 * One header of a kept result.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record RecordedHeader(String name, String value) {

    int bytes() {
        return 2 * (name.length() + value.length());
    }
}
