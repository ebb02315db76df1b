package org.dahliapass.standins;

import com.linecorp.armeria.common.QueryParams;

/**
 * What a blocking read asks for.
 *
 * @param index answer once the index is higher; 0 for at once
 * @param waitMillis answer after this time at the latest, in milliseconds
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

    /** Returns the milliseconds of a time such as {@code 500ms}, {@code 10s} or {@code 5m}. */
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
        throw new IllegalArgumentException("write a time as 500ms, 10s or 5m, not " + text);
    }

    private static long number(String text, int unitLength) {
        return Long.parseLong(text.substring(0, text.length() - unitLength));
    }
}
