package org.dahliapass.decisions.availability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * What a response says of the availability of the target that sent it.
 *
 * @param isLeaving whether the target is shutting down and takes no new requests
 * @param restMillis for how long the target wants no request of this VM, in milliseconds; empty if
 *     it doesn't ask for a rest
 * @param malformed the values that can't be read, shortened
 */
public record AvailabilityStatement(
        boolean isLeaving, OptionalLong restMillis, List<String> malformed) {
    /** The statement of a target that says nothing. */
    public static final AvailabilityStatement NONE =
            new AvailabilityStatement(false, OptionalLong.empty(), List.of());

    /** Bounds how long one response takes a target out of use, whatever value it contains. */
    public static final Duration MAX_REST = Duration.ofMinutes(5);

    private static final int UNAVAILABLE = 503;
    private static final String LEAVING = "1";
    private static final String NOT_LEAVING = "0";
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Excludes signs, exponents, dates and names such as NaN. */
    private static final Pattern DECIMAL = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

    /** The number of characters of a malformed value that are kept. */
    private static final int MAX_MALFORMED_LENGTH = 32;

    /** Copies the list of malformed values. */
    public AvailabilityStatement {
        malformed = List.copyOf(malformed);
    }

    /**
     * Reads the statement of a response.
     *
     * @param leaving the values that say whether the target is leaving; one that says so counts
     * @param status the HTTP status; only a target that is unavailable can ask for a rest
     * @param retryAfter the values of Retry-After, in seconds; the longest one counts
     */
    public static AvailabilityStatement parse(
            List<String> leaving, int status, List<String> retryAfter) {
        List<String> rests = status == UNAVAILABLE ? retryAfter : List.of();
        if (leaving.isEmpty() && rests.isEmpty()) {
            return NONE;
        }
        List<String> malformed = new ArrayList<>();
        boolean isLeaving = false;
        for (String value : leaving) {
            isLeaving |= value.trim().equals(LEAVING);
            if (!value.trim().equals(LEAVING) && !value.trim().equals(NOT_LEAVING)) {
                malformed.add(shorten(value));
            }
        }
        OptionalLong rest = OptionalLong.empty();
        for (String value : rests) {
            if (DECIMAL.matcher(value.trim()).matches()) {
                rest = OptionalLong.of(Math.max(rest.orElse(0), toMillis(value.trim())));
            } else {
                malformed.add(shorten(value));
            }
        }
        return new AvailabilityStatement(isLeaving, rest, malformed);
    }

    private static long toMillis(String seconds) {
        // A cast limits a value that is too large for a long.
        long millis = (long) Math.ceil(Double.parseDouble(seconds) * MILLIS_PER_SECOND);
        return Math.min(millis, MAX_REST.toMillis());
    }

    private static String shorten(String value) {
        return value.substring(0, Math.min(value.length(), MAX_MALFORMED_LENGTH));
    }
}
