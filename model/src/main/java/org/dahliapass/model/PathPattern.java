package org.dahliapass.model;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A path pattern of a template.
 *
 * @param path the path, or a path prefix that ends with a slash
 * @param prefix whether {@code path} is a prefix
 */
record PathPattern(String path, boolean prefix) {
    /** The expected format of a literal path, for error messages. */
    static final String LITERAL_FORMAT =
            "a path such as /health of letters, digits and / - . _ ~,"
                    + " without empty, . or .. segments";

    /** The expected format of a path pattern, for error messages. */
    static final String FORMAT = LITERAL_FORMAT + "; it may end in /**";

    private static final Pattern CHARACTERS = Pattern.compile("/[A-Za-z0-9/._~-]*");
    private static final String WILDCARD = "**";

    /** Parses a path pattern; returns empty if the format is invalid. */
    static Optional<PathPattern> parse(String text) {
        boolean prefix = text.endsWith("/" + WILDCARD);
        String path = prefix ? text.substring(0, text.length() - WILDCARD.length()) : text;
        return parseLiteral(path).map(literal -> new PathPattern(literal, prefix));
    }

    /** Parses a path without a wildcard; returns empty if the format is invalid. */
    static Optional<String> parseLiteral(String text) {
        if (!CHARACTERS.matcher(text).matches() || text.contains("//")) {
            return Optional.empty();
        }
        boolean relative =
                Arrays.stream(text.split("/"))
                        .anyMatch(segment -> segment.equals(".") || segment.equals(".."));
        return relative ? Optional.empty() : Optional.of(text);
    }
}
