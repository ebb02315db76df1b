package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.regex.Pattern;

/**
 * Validates the raw lines that frame requests.
 *
 * <p>Detects whitespace, control characters and folded lines that the decoder accepts silently and
 * that other HTTP implementations interpret differently, which enables request smuggling. Processes
 * the decoded bytes in order.
 */
final class FramingValidator implements ByteProcessor {
    /** Some clients pad chunk sizes with zeros to this many digits. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    private static final Pattern REQUEST_LINE_PATTERN =
            Pattern.compile("[^ \\t]+ [^ \\t]+ HTTP/[0-9]\\.[0-9]");

    private static final int HEXADECIMAL = 16;
    private static final char DELETE = 0x7f;

    private final StringBuilder mLine = new StringBuilder();
    private Part mPart = Part.REQUEST_LINE;
    private boolean mMalformed;
    private long mChunkRemaining;

    /** The parts of a request and the lines that are valid in them. */
    private enum Part {
        /** RFC 9112, 2.2, 2.3 and 3: empty lines, then three words separated by single spaces. */
        REQUEST_LINE {
            @Override
            boolean isWellFormed(String line) {
                return line.isEmpty() || REQUEST_LINE_PATTERN.matcher(line).matches();
            }
        },
        /** RFC 9112, 5.2: no folded lines. */
        HEADERS {
            @Override
            boolean isWellFormed(String line) {
                return !line.startsWith(" ") && !line.startsWith("\t");
            }
        },
        /** A body with a Content-Length, which has no lines. */
        BODY,
        /** RFC 9112, 7.1: a hexadecimal size and optional extensions. */
        CHUNK_SIZE {
            @Override
            boolean isWellFormed(String line) {
                int digits = countSizeDigits(line);
                boolean isTerminated = digits == line.length() || line.charAt(digits) == ';';
                return digits > 0
                        && digits <= MAX_CHUNK_SIZE_DIGITS
                        && isTerminated
                        && parseChunkSize(line) <= Integer.MAX_VALUE;
            }
        },
        /** The data of a chunk, which has no lines. */
        CHUNK,
        /** RFC 9112, 7.1: the empty line after the data of a chunk. */
        CHUNK_END {
            @Override
            boolean isWellFormed(String line) {
                return line.isEmpty();
            }
        },
        /** RFC 9112, 7.1.2: trailer fields after the last chunk. */
        TRAILERS {
            @Override
            boolean isWellFormed(String line) {
                return HEADERS.isWellFormed(line);
            }
        };

        /** Returns whether a line is valid in this part, apart from control characters. */
        boolean isWellFormed(String line) {
            return true;
        }
    }

    /** Validates the decoded bytes of a buffer in the index range [from, until). */
    void onBytes(ByteBuf bytes, int from, int until) {
        int unused = bytes.forEachByte(from, until - from, this);
    }

    @Override
    public boolean process(byte character) {
        if (mMalformed || mPart == Part.BODY) {
            return false;
        }
        if (mPart == Part.CHUNK) {
            mChunkRemaining--;
            mPart = mChunkRemaining == 0 ? Part.CHUNK_END : Part.CHUNK;
            return true;
        }
        mLine.append((char) (character & 0xff));
        if (character == '\n') {
            onLine();
        }
        return true;
    }

    private void onLine() {
        int end = mLine.length() - 2;
        boolean hasLineEnd = end >= 0 && mLine.charAt(end) == '\r';
        String line = hasLineEnd ? mLine.substring(0, end) : "";
        mLine.setLength(0);
        mMalformed = !hasLineEnd || hasControlCharacter(line) || !mPart.isWellFormed(line);
        if (!mMalformed) {
            mPart = nextPart(line);
        }
    }

    private static boolean hasControlCharacter(String line) {
        return line.chars()
                .anyMatch(
                        character -> (character < ' ' && character != '\t') || character == DELETE);
    }

    private static int countSizeDigits(String line) {
        int digits = 0;
        while (digits < line.length() && Character.digit(line.charAt(digits), HEXADECIMAL) >= 0) {
            digits++;
        }
        return digits;
    }

    private static long parseChunkSize(String line) {
        return Long.parseLong(line, 0, countSizeDigits(line), HEXADECIMAL);
    }

    private Part nextPart(String line) {
        return switch (mPart) {
            case REQUEST_LINE -> line.isEmpty() ? Part.REQUEST_LINE : Part.HEADERS;
            case HEADERS -> line.isEmpty() ? Part.BODY : Part.HEADERS;
            case CHUNK_SIZE -> {
                mChunkRemaining = parseChunkSize(line);
                yield mChunkRemaining == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> Part.CHUNK_SIZE;
            case TRAILERS -> line.isEmpty() ? Part.REQUEST_LINE : Part.TRAILERS;
            case BODY, CHUNK -> mPart;
        };
    }

    /** Records that the body after the current head is chunked. */
    void onChunkedHead() {
        mPart = Part.CHUNK_SIZE;
    }

    /** Records the end of a request; another one may follow. */
    void onRequestEnd() {
        mPart = Part.REQUEST_LINE;
    }

    /** Returns whether the malformed line follows the data of a valid chunk. */
    boolean isMalformedAfterChunk() {
        return mMalformed && mPart == Part.CHUNK_END;
    }

    /** Returns whether a malformed line was found; no later byte is validated. */
    boolean isMalformed() {
        return mMalformed;
    }
}
