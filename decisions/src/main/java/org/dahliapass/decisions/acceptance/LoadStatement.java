package org.dahliapass.decisions.acceptance;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a response says of the load of its target.
 *
 * @param running the requests that the target executes
 * @param waiting the requests that wait at the target
 * @param slots the requests that the target executes concurrently
 */
public record LoadStatement(int running, int waiting, int slots) {
    /** Excludes signs and numbers of excessive length. */
    private static final Pattern VALUE =
            Pattern.compile("\\s*(\\d{1,6})\\s*,\\s*(\\d{1,6})\\s*,\\s*(\\d{1,6})\\s*");

    /**
     * Reads the values of the load header in one response.
     *
     * @return the statement; empty if there is none, if it can't be read or if there are several
     */
    public static Optional<LoadStatement> parse(List<String> values) {
        if (values.size() != 1) {
            return Optional.empty();
        }
        Matcher matcher = VALUE.matcher(values.get(0));
        return matcher.matches()
                ? Optional.of(
                        new LoadStatement(
                                Integer.parseInt(matcher.group(1)),
                                Integer.parseInt(matcher.group(2)),
                                Integer.parseInt(matcher.group(3))))
                : Optional.empty();
    }

    /** Returns whether the target has a slot for another request. */
    public boolean hasFreeSlot() {
        return running < slots;
    }
}
