package org.dahliapass.standins;

import com.linecorp.armeria.common.QueryParams;

/**
 * The query parameters of a blocking read.
 *
 * @param index the read returns once the key's index is higher; 0 returns at once
 * @param waitMillis the maximum wait, in milliseconds
 */
record BlockingReadParameters(long index, long waitMillis) {
    private static final String DEFAULT_WAIT = "5m";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_MINUTE = 60_000;

    static BlockingReadParameters of(QueryParams parameters) {
        return new BlockingReadParameters(
                parameters.getLong("index", 0), parseMillis(parameters.get("wait", DEFAULT_WAIT)));
    }

    boolean isBlocking() {
        return index > 0;
    }

    /**
     * Parses a duration such as {@code 500ms}, {@code 10s} or {@code 5m}.
     *
     * @return the duration in milliseconds
     * @throws IllegalArgumentException if the unit is missing or the number is malformed
     */
    static long parseMillis(String text) {
        if (text.endsWith("ms")) {
            return number(text, 2);
        }
        if (text.endsWith("s")) {
            return number(text, 1) * MILLIS_PER_SECOND;
        }
        if (text.endsWith("m")) {
            return number(text, 1) * MILLIS_PER_MINUTE;
        }
        throw new IllegalArgumentException(
                "duration must be written as 500ms, 10s or 5m, but is " + text);
    }

    private static long number(String text, int unitLength) {
        return Long.parseLong(text.substring(0, text.length() - unitLength));
    }
}
