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

    /** Returns the bytes from an offset to before another one. */
    public static byte[] bytes(long start, long end) {
        byte[] bytes = new byte[(int) (end - start)];
        for (int index = 0; index < bytes.length; index++) {
            bytes[index] = byteAt(start + index);
        }
        return bytes;
    }

    private static byte[] pattern() {
        return bytes(0, CHUNK_LENGTH + PERIOD);
    }
}
