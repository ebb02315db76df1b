package org.dahliapass.decisions.limits;

import java.util.List;
import java.util.regex.Pattern;

/** What a response says of the request limit of its target. */
public sealed interface LimitStatement {
    /** The response names no limit. */
    record Unlimited() implements LimitStatement {
        @Override
        public String toString() {
            return "none";
        }
    }

    /**
     * The target takes a limited number of requests from all VMs together.
     *
     * @param requestsPerSecond the limit, at least 0
     */
    record Limited(double requestsPerSecond) implements LimitStatement {
        @Override
        public String toString() {
            return Double.toString(requestsPerSecond);
        }
    }

    /**
     * The response names a limit that can't be read.
     *
     * @param value the value as received, shortened
     */
    record Malformed(String value) implements LimitStatement {
        @Override
        public String toString() {
            return "malformed: " + value;
        }
    }

    /** No limit. */
    LimitStatement UNLIMITED = new Unlimited();

    /** Excludes signs, exponents and names such as NaN, and numbers of excessive length. */
    Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{0,9})?|\\.\\d{1,9}");

    /** The number of characters of a malformed value that are kept. */
    int MAX_MALFORMED_LENGTH = 32;

    /**
     * Reads the values of the limit in one response.
     *
     * @param values the values; several of them mean the lowest one that can be read
     */
    static LimitStatement parse(List<String> values) {
        if (values.isEmpty()) {
            return UNLIMITED;
        }
        return values.stream()
                .map(String::trim)
                .filter(value -> DECIMAL.matcher(value).matches())
                .map(Double::valueOf)
                .min(Double::compare)
                .<LimitStatement>map(Limited::new)
                .orElseGet(() -> new Malformed(shorten(values.get(0))));
    }

    private static String shorten(String value) {
        return value.substring(0, Math.min(value.length(), MAX_MALFORMED_LENGTH));
    }
}
