package org.dahliapass.lab.latency;

import java.util.Locale;

/**
 * The VM's resident set around one streamed body, in kibibytes, and how fast the body went.
 *
 * @param reader the reader's name
 * @param bytes bytes that arrived
 * @param seconds how long it took
 * @param before the resident set before the request
 * @param peak the highest while the body streamed
 * @param after the resident set when it had ended
 */
record StreamResult(String reader, long bytes, double seconds, long before, long peak, long after) {
    private static final double KIBIBYTES_PER_MEBIBYTE = 1024.0;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** Returns the table's head, in Markdown. */
    static String header() {
        return "| Reader | Bytes | Seconds | MB/s | Resident before (MiB) | Peak | After |\n"
                + "|---|---|---|---|---|---|---|";
    }

    /** Returns the table's row, in Markdown. */
    String row() {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %.1f | %.0f | %.0f | %.0f | %.0f |",
                reader,
                bytes,
                seconds,
                bytes / BYTES_PER_MEGABYTE / seconds,
                before / KIBIBYTES_PER_MEBIBYTE,
                peak / KIBIBYTES_PER_MEBIBYTE,
                after / KIBIBYTES_PER_MEBIBYTE);
    }
}
