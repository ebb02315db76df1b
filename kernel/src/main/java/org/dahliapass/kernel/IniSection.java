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
 * One section of an {@link IniFile}, read by typed getters.
 *
 * <p>A getter that meets a missing or wrong value reports a problem and returns a harmless stand-in
 * value, so that reading goes on and all problems come at once.
 */
public final class IniSection {
    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("(\\d+)(B|KB|MB|GB)");
    private static final Pattern SHARE = Pattern.compile("(\\d+(?:\\.\\d+)?)%");
    private static final long BYTES_PER_STEP = 1024;

    private final IniFile mFile;
    private final String mName;
    private final Profile.Section mSection;
    private final Set<String> mAsked = new HashSet<>();
    private boolean mUsed;

    IniSection(IniFile file, String name, Profile.Section section) {
        mFile = file;
        mName = name;
        mSection = section;
    }

    /** Returns the section's whole name. */
    public String name() {
        return mName;
    }

    /** Returns the words of the section's name after its first. */
    public List<String> qualifiers() {
        List<String> words = Arrays.asList(mName.trim().split("\\s+"));
        return words.subList(1, words.size());
    }

    /** Returns whether the key stands in the file. */
    public boolean has(String key) {
        return mSection != null && mSection.containsKey(key);
    }

    /** Returns a text that must be there and not empty. */
    public String text(String key) {
        return required(key, "a text", Optional::of, "");
    }

    /** Returns a text, or the fallback if the key is missing. */
    public String text(String key, String fallback) {
        return has(key) ? text(key) : asked(key, fallback);
    }

    /** Returns a whole number within bounds, both included. */
    public long number(String key, long least, long most) {
        return required(
                key,
                "a whole number from " + least + " to " + most,
                value -> parseNumber(value, least, most),
                least);
    }

    /** Returns a whole number within bounds, or the fallback if the key is missing. */
    public long number(String key, long least, long most, long fallback) {
        return has(key) ? number(key, least, most) : asked(key, fallback);
    }

    /** Returns a decimal number within bounds, both included. */
    public double decimal(String key, double least, double most) {
        return required(
                key,
                "a number from " + least + " to " + most,
                value -> parseDecimal(value, least, most),
                least);
    }

    /** Returns a decimal number within bounds, or the fallback if the key is missing. */
    public double decimal(String key, double least, double most, double fallback) {
        return has(key) ? decimal(key, least, most) : asked(key, fallback);
    }

    /** Returns a share from 0 to 1, written as a percentage such as 12.5%. */
    public double fraction(String key) {
        return required(key, "a percentage from 0% to 100%", IniSection::parseShare, 0.0);
    }

    /** Returns a share, or the fallback if the key is missing. */
    public double fraction(String key, double fallback) {
        return has(key) ? fraction(key) : asked(key, fallback);
    }

    /** Returns a duration such as 250ms, 30s, 5m or 2h within bounds, both included. */
    public Duration duration(String key, Duration least, Duration most) {
        return required(
                key,
                "a duration from " + print(least) + " to " + print(most) + ", such as 250ms or 30s",
                value ->
                        parseDuration(value)
                                .filter(d -> d.compareTo(least) >= 0 && d.compareTo(most) <= 0),
                least);
    }

    /** Returns a duration, or the fallback if the key is missing. */
    public Duration duration(String key, Duration least, Duration most, Duration fallback) {
        return has(key) ? duration(key, least, most) : asked(key, fallback);
    }

    /** Returns a size in bytes, written such as 512B, 64KB, 10MB or 2GB. */
    public long size(String key, long least, long most) {
        return required(
                key,
                "a size from " + least + "B to " + most + "B, such as 64KB",
                value -> parseSize(value).filter(s -> s >= least && s <= most),
                least);
    }

    /** Returns a size in bytes, or the fallback if the key is missing. */
    public long size(String key, long least, long most, long fallback) {
        return has(key) ? size(key, least, most) : asked(key, fallback);
    }

    /** Returns yes or no. */
    public boolean yesNo(String key) {
        return required(key, "yes or no", IniSection::parseYesNo, false);
    }

    /** Returns yes or no, or the fallback if the key is missing. */
    public boolean yesNo(String key, boolean fallback) {
        return has(key) ? yesNo(key) : asked(key, fallback);
    }

    /** Returns one of an enum's values, written in lower case with hyphens. */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type) {
        E[] values = type.getEnumConstants();
        String allowed =
                Arrays.stream(values).map(IniSection::written).collect(Collectors.joining(", "));
        return required(
                key,
                "one of " + allowed,
                value ->
                        Arrays.stream(values)
                                .filter(choice -> written(choice).equals(value))
                                .findFirst(),
                values[0]);
    }

    /** Returns one of an enum's values, or the fallback if the key is missing. */
    public <E extends Enum<E>> E enumValue(String key, Class<E> type, E fallback) {
        return has(key) ? enumValue(key, type) : asked(key, fallback);
    }

    /** Returns a value that the caller's own parser makes of the text; empty means wrong. */
    public <T> T value(
            String key, String allowed, Function<String, Optional<T>> parser, T standIn) {
        return required(key, allowed, parser, standIn);
    }

    /** Returns the parts of a list separated by commas; a missing key reads as an empty list. */
    public List<String> list(String key) {
        if (!has(key)) {
            return asked(key, List.of());
        }
        return Arrays.stream(text(key).split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Reports that a key's value clashes with something else. */
    public void reportProblem(String key, String met, String allowed) {
        mFile.report(mName, key, met, allowed);
    }

    /**
     * Returns whether no problem of this section is known so far. What clashes with a stand-in
     * value is no problem of its own: check for clashes only while the section is sound.
     */
    public boolean isValid() {
        return mFile.isValid(mName);
    }

    void use() {
        mUsed = true;
    }

    void reportUnknown() {
        if (!mUsed) {
            mFile.report(mName, "", "an unknown section", "the sections in the documentation");
            return;
        }
        for (String key : mSection.keySet()) {
            if (!mAsked.contains(key)) {
                mFile.report(mName, key, "an unknown key", allowedKeys());
            }
        }
    }

    private String allowedKeys() {
        return "one of " + mAsked.stream().sorted().collect(Collectors.joining(", "));
    }

    private <T> T required(
            String key, String allowed, Function<String, Optional<T>> parser, T standIn) {
        mAsked.add(key);
        if (!has(key)) {
            if (mSection != null) {
                mFile.report(mName, key, "nothing", allowed);
            }
            return standIn;
        }
        if (mSection.length(key) > 1) {
            mFile.report(mName, key, mSection.length(key) + " values", "one value");
            return standIn;
        }
        String met = mSection.get(key) == null ? "" : mSection.get(key).trim();
        Optional<T> value = met.isEmpty() ? Optional.empty() : parser.apply(met);
        if (value.isEmpty()) {
            mFile.report(mName, key, "'" + met + "'", allowed);
        }
        return value.orElse(standIn);
    }

    private <T> T asked(String key, T fallback) {
        mAsked.add(key);
        return fallback;
    }

    private static String written(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Optional<Long> parseNumber(String value, long least, long most) {
        try {
            return Optional.of(Long.parseLong(value)).filter(n -> n >= least && n <= most);
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDecimal(String value, double least, double most) {
        try {
            return Optional.of(Double.parseDouble(value)).filter(n -> n >= least && n <= most);
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseShare(String value) {
        Matcher matcher = SHARE.matcher(value);
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
                .map(amount -> amount * factor(matcher.group(2)));
    }

    private static long factor(String unit) {
        return switch (unit) {
            case "B" -> 1;
            case "KB" -> BYTES_PER_STEP;
            case "MB" -> BYTES_PER_STEP * BYTES_PER_STEP;
            default -> BYTES_PER_STEP * BYTES_PER_STEP * BYTES_PER_STEP;
        };
    }

    private static Optional<Boolean> parseYesNo(String value) {
        return switch (value) {
            case "yes" -> Optional.of(true);
            case "no" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static String print(Duration duration) {
        return duration.toMillis() % 1000 == 0
                ? duration.toSeconds() + "s"
                : duration.toMillis() + "ms";
    }
}
