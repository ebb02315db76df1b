package org.dahliapass.standins;

/** Responses that the protocol does not allow, but that decoders may accept. */
public enum InvalidResponse {
    STATUS_ZERO("HTTP/1.1 000 Unknown\r\n" + Format.LENGTH),
    STATUS_WITH_SIGN("HTTP/1.1 +200 OK\r\n" + Format.LENGTH),
    BLANK_BEFORE_VERSION(" " + Format.HEAD + Format.LENGTH),
    BLANK_IN_FIELD_NAME(Format.HEAD + "A b: c\r\n" + Format.LENGTH),
    FOLDED_LINE(Format.HEAD + "A: b\r\n c\r\n" + Format.LENGTH),
    BLANK_IN_INTERIM_FIELD_NAME(
            Format.INTERIM_HEAD + "A b: c\r\n\r\n" + Format.HEAD + Format.LENGTH),
    LENGTH_IN_INTERIM_HEAD(
            Format.INTERIM_HEAD + "Content-Length: 2\r\n\r\n" + Format.HEAD + Format.LENGTH),
    BLANK_AFTER_CHUNK_SIZE(Format.CHUNKED + "%x " + Format.LAST_CHUNK + "\r\n"),
    CONTROL_BYTE_AFTER_CHUNK_SIZE(Format.CHUNKED + "%x\u0001" + Format.LAST_CHUNK + "\r\n"),
    CHUNK_SIZE_THAT_OVERFLOWS(Format.CHUNKED + "1%08x" + Format.LAST_CHUNK + "\r\n"),
    BLANK_IN_TRAILER_NAME(Format.CHUNKED + "%x" + Format.LAST_CHUNK + "A b: c\r\n\r\n"),
    LENGTH_IN_TRAILER(Format.CHUNKED + "%x" + Format.LAST_CHUNK + "Content-Length: 2\r\n\r\n"),
    CUT_IN_STATUS_LINE("HTTP/1.1 200 O"),
    CUT_AFTER_STATUS_LINE(Format.HEAD),
    CUT_IN_FIELD_NAME(Format.HEAD + "A: b\r\nContent-Le"),
    CUT_BEFORE_END_OF_HEAD(Format.HEAD + "Content-Length: %d\r\n");

    private final String mFormat;

    InvalidResponse(String format) {
        mFormat = format;
    }

    /**
     * Returns the raw response.
     *
     * @param body the body, in ASCII
     */
    public String format(String body) {
        return String.format(mFormat, body.length(), body);
    }

    /** Parts of the formats, whose arguments are the length of the body and the body. */
    private static final class Format {
        static final String HEAD = "HTTP/1.1 200 OK\r\n";
        static final String INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\n";
        static final String LENGTH = "Content-Length: %d\r\n\r\n%s";
        static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

        /** Follows the size of a chunk with the whole body. */
        static final String LAST_CHUNK = "\r\n%s\r\n0\r\n";
    }
}
