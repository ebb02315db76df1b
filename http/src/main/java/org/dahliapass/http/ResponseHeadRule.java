package org.dahliapass.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Rejects a response head that the protocol does not allow or that begins with bytes of another
 * one.
 *
 * <p>The decoder accepts any number as a status. A faulty server may send the start of a second
 * response, which arrives after the next request was sent. Its last line then continues with the
 * status line of the next response, and the head combines the status of one with the headers of the
 * other.
 */
final class ResponseHeadRule {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d");

    /** The statuses that have a meaning (RFC 9110, 15). */
    private static final int MIN_STATUS = 100;

    private static final int MAX_STATUS = 599;

    private ResponseHeadRule() {}

    /** Returns what is wrong with a head; empty if nothing is. */
    static Optional<String> problem(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("Unsupported protocol version " + version);
        }
        int status = head.status().code();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of(
                    "The status is "
                            + status
                            + "; expected "
                            + MIN_STATUS
                            + " to "
                            + MAX_STATUS
                            + ".");
        }
        boolean containsStatusLine = containsStatusLine(head.status().reasonPhrase());
        for (Map.Entry<String, String> header : head.headers()) {
            containsStatusLine |= containsStatusLine(header.getValue());
        }
        return containsStatusLine
                ? Optional.of("The head contains a second status line.")
                : Optional.empty();
    }

    private static boolean containsStatusLine(String text) {
        // A substring search is enough for nearly all heads.
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
