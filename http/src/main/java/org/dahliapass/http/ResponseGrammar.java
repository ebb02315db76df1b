package org.dahliapass.http;

import java.net.ProtocolException;
import java.util.BitSet;
import java.util.regex.Pattern;

/**
 * The lines that a server may send in a response (RFC 9110, RFC 9112).
 *
 * <p>Decoders accept more: any number as a status, blanks in the name of a field, control bytes
 * around a chunk size. Such a line is not from a sound server, and where it ends or what it means
 * differs between implementations.
 */
final class ResponseGrammar {
    private static final Pattern STATUS_LINE_PATTERN =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2} .*", Pattern.DOTALL);

    /** Occurs within a line if a server sends the start of a second response into the first. */
    private static final Pattern INNER_STATUS_LINE_PATTERN =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

    private static final String INNER_STATUS_LINE_START = "HTTP/1.";

    /** A number of 31 bits, which some servers pad with zeros. */
    private static final Pattern CHUNK_SIZE_PATTERN =
            Pattern.compile("0*(?:[0-7][0-9A-Fa-f]{7}|[0-9A-Fa-f]{1,7})");

    /** Fits in a long with any digits. */
    private static final Pattern LENGTH_PATTERN = Pattern.compile("0*[0-9]{1,18}");

    private static final int VERSION_LENGTH = "HTTP/1.1".length();
    private static final int STATUS_START = VERSION_LENGTH + 1;
    private static final int REASON_START = STATUS_START + "200 ".length();
    private static final int MAX_QUOTED_CHARACTERS = 80;
    private static final int HEXADECIMAL = 16;
    private static final char DELETE = 0x7f;
    private static final BitSet TOKEN_CHARACTERS = tokenCharacters();

    private ResponseGrammar() {}

    /**
     * The start of a response.
     *
     * @param isHttp10 whether the version is 1.0
     * @param status the status code, from 100 to 599
     */
    record StatusLine(boolean isHttp10, int status) {}

    /**
     * A field of a head or trailer.
     *
     * @param name the name as sent
     * @param value the value without blanks around it
     */
    record Field(String name, String value) {}

    /**
     * Parses a status line (RFC 9112, 4).
     *
     * @throws ProtocolException if it is malformed
     */
    static StatusLine statusLine(String line) throws ProtocolException {
        if (!STATUS_LINE_PATTERN.matcher(line).matches()) {
            throw malformed("status line", line);
        }
        requireText("status line", line, line.substring(REASON_START));
        return new StatusLine(
                line.charAt(VERSION_LENGTH - 1) == '0',
                Integer.parseInt(line, STATUS_START, REASON_START - 1, 10));
    }

    /**
     * Parses a field line (RFC 9112, 5).
     *
     * @throws ProtocolException if it is malformed or folded
     */
    static Field field(String line) throws ProtocolException {
        int colon = line.indexOf(':');
        if (colon < 1 || !isToken(line, colon)) {
            throw malformed("field name", line);
        }
        String value = line.substring(colon + 1);
        requireText("field value", line, value);
        return new Field(line.substring(0, colon), trimBlanks(value));
    }

    /**
     * Parses a Content-Length (RFC 9110, 8.6).
     *
     * @throws ProtocolException if it is not a number of bytes
     */
    static long length(String value) throws ProtocolException {
        if (!LENGTH_PATTERN.matcher(value).matches()) {
            throw malformed("Content-Length", value);
        }
        return Long.parseLong(value);
    }

    /**
     * Parses the line before a chunk (RFC 9112, 7.1).
     *
     * @return the number of bytes in the chunk
     * @throws ProtocolException if it is malformed or the size exceeds 31 bits
     */
    static int chunkSize(String line) throws ProtocolException {
        int end = line.indexOf(';');
        String digits = end < 0 ? line : line.substring(0, end);
        if (!CHUNK_SIZE_PATTERN.matcher(digits).matches() || hasControlCharacter(line)) {
            throw malformed("chunk size", line);
        }
        return (int) Long.parseLong(digits, HEXADECIMAL);
    }

    private static void requireText(String part, String line, String text)
            throws ProtocolException {
        boolean containsStatusLine =
                text.contains(INNER_STATUS_LINE_START)
                        && INNER_STATUS_LINE_PATTERN.matcher(text).find();
        if (containsStatusLine || hasControlCharacter(text)) {
            throw malformed(part, line);
        }
    }

    private static boolean hasControlCharacter(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if ((character < ' ' && character != '\t') || character == DELETE) {
                return true;
            }
        }
        return false;
    }

    private static boolean isToken(String line, int end) {
        for (int index = 0; index < end; index++) {
            if (!TOKEN_CHARACTERS.get(line.charAt(index))) {
                return false;
            }
        }
        return true;
    }

    private static String trimBlanks(String value) {
        int start = 0;
        int end = value.length();
        while (start < end && isBlank(value.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(start, end);
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    private static BitSet tokenCharacters() {
        BitSet characters = new BitSet();
        characters.set('0', '9' + 1);
        characters.set('A', 'Z' + 1);
        characters.set('a', 'z' + 1);
        "!#$%&'*+-.^_`|~".chars().forEach(characters::set);
        return characters;
    }

    private static ProtocolException malformed(String part, String line) {
        return new ProtocolException("Malformed " + part + " in a response: " + printable(line));
    }

    /** Returns the start of a line, without characters that would change a log. */
    private static String printable(String line) {
        String start = line.substring(0, Math.min(line.length(), MAX_QUOTED_CHARACTERS));
        return start.replaceAll("[^ -~]", "?");
    }
}
