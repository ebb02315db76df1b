package org.dahliapass.kernel;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.ini4j.Profile;

/**
 * A section of an {@link IniFile} with typed getters.
 *
 * <p>For a missing or invalid value, a getter reports a problem and returns a placeholder, so that
 * all problems are reported together.
 */
public final class IniSection {
    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("(\\d+)(B|KB|MB|GB)");
    private static final Pattern FRACTION = Pattern.compile("(\\d+(?:\\.\\d+)?)%");
    private static final long UNIT_FACTOR = 1024;

    private final IniFile mFile;
    private final String mName;
    private final Profile.Section mSection;
    private final Set<String> mRequestedKeys = new HashSet<>();
    private boolean mRequested;

    IniSection(IniFile file, String name, Profile.Section section) {
        mFile = file;
        mName = name;
        mSection = section;
    }

    /** Returns the section's full name. */
    public String name() {
        return mName;
    }

    /** Returns the words of the section's name after the first one. */
    public List<String> qualifiers() {
        List<String> words = Arrays.asList(mName.trim().split("\\s+"));
        return words.subList(1, words.size());
    }

    /** Returns whether the section contains the key. */
    public boolean has(String key) {
        return mSection != null && mSection.containsKey(key);
    }

    /** Returns a required, non-empty text. */
    public String text(String key) {
        return required(key, "a text", Optional::of, "");
    }

    /** Returns a text, or the fallback if the key is missing. */
    public String text(String key, String fallback) {
        return has(key) ? text(key) : useFallback(key, fallback);
    }

    /** Returns an integer within inclusive bounds. */
    public long number(String key, long min, long max) {
        return required(
                key,
                "a whole number from " + min + " to " + max,
                value -> parseNumber(value, min, max),
                min);
    }

    /** Returns an integer within inclusive bounds, or the fallback if the key is missing. */
    public long number(String key, long min, long max, long fallback) {
        return has(key) ? number(key, min, max) : useFallback(key, fallback);
    }

    /** Returns a decimal number within inclusive bounds. */
    public double decimal(String key, double min, double max) {
        return required(
                key,
                "a number from " + min + " to " + max,
                value -> parseDecimal(value, min, max),
                min);
    }

    /** Returns a decimal number within inclusive bounds, or the fallback if the key is missing. */
    public double decimal(String key, double min, double max, double fallback) {
        return has(key) ? decimal(key, min, max) : useFallback(key, fallback);
    }

    /** Returns a fraction from 0 to 1, written as a percentage such as 12.5%. */
    public double fraction(String key) {
        return required(key, "a percentage from 0% to 100%", IniSection::parseFraction, 0.0);
    }

    /** Returns a fraction, or the fallback if the key is missing. */
    public double fraction(String key, double fallback) {
        return has(key) ? fraction(key) : useFallback(key, fallback);
    }

    /** Returns a duration within inclusive bounds, such as 250ms, 30s, 5m or 2h. */
    public Duration duration(String key, Duration min, Duration max) {
        return required(
                key,
                "a duration from " + format(min) + " to " + format(max) + ", such as 250ms or 30s",
                value ->
                        parseDuration(value)
                                .filter(d -> d.compareTo(min) >= 0 && d.compareTo(max) <= 0),
                min);
    }

    /** Returns a duration, or the fallback if the key is missing. */
    public Duration duration(String key, Duration min, Duration max, Duration fallback) {
        return has(key) ? duration(key, min, max) : useFallback(key, fallback);
    }

    /** Returns a size in bytes within inclusive bounds, such as 512B, 64KB, 10MB or 2GB. */
    public long size(String key, long min, long max) {
        return required(
                key,
                "a size from " + min + "B to " + max + "B, such as 64KB",
                value -> parseSize(value).filter(s -> s >= min && s <= max),
                min);
    }

    /** Returns a size in bytes, or the fallback if the key is missing. */
    public long size(String key, long min, long max, long fallback) {
        return has(key) ? size(key, min, max) : useFallback(key, fallback);
    }

    /** Returns a boolean, written as yes or no. */
    public boolean yesNo(String key) {
        return required(key, "yes or no", IniSection::parseYesNo, false);
    }

    /** Returns a boolean, or the fallback if the key is missing. */
    public boolean yesNo(String key, boolean fallback) {
        return has(key) ? yesNo(key) : useFallback(key, fallback);
    }

    /** Returns an enum constant, written in lower case with hyphens. */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type) {
        E[] values = type.getEnumConstants();
        String expected =
                Arrays.stream(values)
                        .map(IniSection::settingName)
                        .collect(Collectors.joining(", "));
        return required(
                key,
                "one of " + expected,
                value ->
                        Arrays.stream(values)
                                .filter(constant -> settingName(constant).equals(value))
                                .findFirst(),
                values[0]);
    }

    /** Returns an enum constant, or the fallback if the key is missing. */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type, E fallback) {
        return has(key) ? enumValue(key, type) : useFallback(key, fallback);
    }

    /**
     * Returns a value converted by the given parser.
     *
     * @param expected the description of valid values, used in problems
     * @param parser returns empty for an invalid text
     * @param placeholder the value returned if the key is missing or invalid
     */
    public <T> T value(
            String key, String expected, Function<String, Optional<T>> parser, T placeholder) {
        return required(key, expected, parser, placeholder);
    }

    /** Returns the elements of a comma-separated list; empty if the key is missing. */
    public List<String> list(String key) {
        if (!has(key)) {
            return useFallback(key, List.of());
        }
        return Arrays.stream(text(key).split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Reports a problem with a key, for instance a conflict with another value. */
    public void reportProblem(String key, String actual, String expected) {
        mFile.report(mName, key, actual, expected);
    }

    /**
     * Returns whether no problem of this section has been reported so far. Check for conflicts
     * between values only if it is valid, since placeholders may conflict.
     */
    public boolean isValid() {
        return mFile.isValid(mName);
    }

    void markRequested() {
        mRequested = true;
    }

    void reportUnknown() {
        if (!mRequested) {
            mFile.report(mName, "", "an unknown section", "the sections in the documentation");
            return;
        }
        for (String key : mSection.keySet()) {
            if (!mRequestedKeys.contains(key)) {
                mFile.report(mName, key, "an unknown key", expectedKeys());
            }
        }
    }

    private String expectedKeys() {
        return "one of " + mRequestedKeys.stream().sorted().collect(Collectors.joining(", "));
    }

    private <T> T required(
            String key, String expected, Function<String, Optional<T>> parser, T placeholder) {
        mRequestedKeys.add(key);
        if (!has(key)) {
            if (mSection != null) {
                mFile.report(mName, key, "nothing", expected);
            }
            return placeholder;
        }
        if (mSection.length(key) > 1) {
            mFile.report(mName, key, mSection.length(key) + " values", "one value");
            return placeholder;
        }
        String actual = mSection.get(key) == null ? "" : mSection.get(key).trim();
        Optional<T> value = actual.isEmpty() ? Optional.empty() : parser.apply(actual);
        if (value.isEmpty()) {
            mFile.report(mName, key, "'" + actual + "'", expected);
        }
        return value.orElse(placeholder);
    }

    private <T> T useFallback(String key, T fallback) {
        mRequestedKeys.add(key);
        return fallback;
    }

    private static String settingName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Optional<Long> parseNumber(String value, long min, long max) {
        try {
            return Optional.of(Long.parseLong(value)).filter(n -> n >= min && n <= max);
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDecimal(String value, double min, double max) {
        try {
            return Optional.of(Double.parseDouble(value)).filter(n -> n >= min && n <= max);
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseFraction(String value) {
        Matcher matcher = FRACTION.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(Double.parseDouble(matcher.group(1)) / 100).filter(n -> n <= 1);
    }

    private static Optional<Duration> parseDuration(String value) {
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return parseNumber(matcher.group(1), 0, Integer.MAX_VALUE)
                .map(amount -> toDuration(amount, matcher.group(2)));
    }

    private static Duration toDuration(long amount, String unit) {
        return switch (unit) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "m" -> Duration.ofMinutes(amount);
            default -> Duration.ofHours(amount);
        };
    }

    private static Optional<Long> parseSize(String value) {
        Matcher matcher = SIZE.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return parseNumber(matcher.group(1), 0, Integer.MAX_VALUE)
                .map(amount -> amount * unitBytes(matcher.group(2)));
    }

    private static long unitBytes(String unit) {
        return switch (unit) {
            case "B" -> 1;
            case "KB" -> UNIT_FACTOR;
            case "MB" -> UNIT_FACTOR * UNIT_FACTOR;
            default -> UNIT_FACTOR * UNIT_FACTOR * UNIT_FACTOR;
        };
    }

    private static Optional<Boolean> parseYesNo(String value) {
        return switch (value) {
            case "yes" -> Optional.of(true);
            case "no" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static String format(Duration duration) {
        return duration.toMillis() % 1000 == 0
                ? duration.toSeconds() + "s"
                : duration.toMillis() + "ms";
    }
}
