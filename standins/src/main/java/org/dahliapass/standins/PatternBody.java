package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpData;

/** The content of large response bodies: each byte depends only on its offset. */
public final class PatternBody {
    /** The maximum chunk size in bytes. */
    static final int CHUNK_LENGTH = 64 * 1024;

    /** A prime, so that lost, duplicated or reordered chunks change the content. */
    private static final int PERIOD = 251;

    private static final byte[] PATTERN = pattern();

    private PatternBody() {}

    /** Returns the byte at the offset. */
    public static byte byteAt(long offset) {
        return (byte) (offset % PERIOD);
    }

    /** Returns the chunk that starts at the offset and ends at {@code end} at the latest. */
    static HttpData chunk(long offset, long end) {
        int length = (int) Math.min(CHUNK_LENGTH, end - offset);
        return HttpData.wrap(PATTERN, (int) (offset % PERIOD), length);
    }

    private static byte[] pattern() {
        byte[] pattern = new byte[CHUNK_LENGTH + PERIOD];
        for (int offset = 0; offset < pattern.length; offset++) {
            pattern[offset] = byteAt(offset);
        }
        return pattern;
    }
}
