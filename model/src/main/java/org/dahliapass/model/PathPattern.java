package org.dahliapass.model;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A path as a template writes it.
 *
 * @param path the path, or its beginning up to and with a slash
 * @param prefix whether all paths that begin so are meant
 */
record PathPattern(String path, boolean prefix) {
    /** What may stand where a path without an ending in {@code **} is wanted. */
    static final String LITERAL_FORMAT =
            "a path such as /health of letters, digits and / - . _ ~, without empty, . or .. parts";

    /** What may stand where a path or a beginning of paths is wanted. */
    static final String FORMAT = LITERAL_FORMAT + "; it may end in /**";

    private static final Pattern CHARACTERS = Pattern.compile("/[A-Za-z0-9/._~-]*");
    private static final String ANY_REST = "**";

    /** Reads a path; empty if it isn't one. */
    static Optional<PathPattern> parse(String text) {
        boolean prefix = text.endsWith("/" + ANY_REST);
        String path = prefix ? text.substring(0, text.length() - ANY_REST.length()) : text;
        return parseLiteral(path).map(plain -> new PathPattern(plain, prefix));
    }

    /** Reads a path that stands for itself only; empty if it isn't one. */
    static Optional<String> parseLiteral(String text) {
        if (!CHARACTERS.matcher(text).matches() || text.contains("//")) {
            return Optional.empty();
        }
        boolean relative =
                Arrays.stream(text.split("/"))
                        .anyMatch(part -> part.equals(".") || part.equals(".."));
        return relative ? Optional.empty() : Optional.of(text);
    }
}
