package org.dahliapass.decisions.once;

/** A header of a recorded result. */
public record RecordedHeader(String name, String value) {

    int bytes() {
        return 2 * (name.length() + value.length());
    }
}
