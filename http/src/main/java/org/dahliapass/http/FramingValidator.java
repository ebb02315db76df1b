package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.regex.Pattern;

/**
 * Looks at the lines that frame requests, for what decoding hides: it takes blanks, control
 * characters and folded lines in its own way, and other readers take them in theirs, so that a
 * header or a whole request is seen by one of them only.
 *
 * <p>Sees the bytes that were decoded, in order, and costs O(1) for each.
 */
final class FramingValidator implements ByteProcessor {
    /** Some clients fill up their sizes of chunks with zeros to so many digits. */
    private static final int MOST_SIZE_DIGITS = 8;

    /** A method, a target and a version, whose letters are capitals. */
    private static final Pattern REQUEST = Pattern.compile("[^ \\t]+ [^ \\t]+ HTTP/[0-9]\\.[0-9]");

    private static final int HEXADECIMAL = 16;
    private static final char DELETE = 0x7f;

    private final StringBuilder mLine = new StringBuilder();
    private Part mPart = Part.REQUEST_LINE;
    private boolean mMalformed;
    private long mChunkLeft;

    /** The parts of a request, and which lines they may have. */
    private enum Part {
        /** RFC 9112, 2.2, 2.3 and 3: empty lines, then three words that single blanks part. */
        REQUEST_LINE {
            @Override
            boolean isProper(String line) {
                return line.isEmpty() || REQUEST.matcher(line).matches();
            }
        },
        /** RFC 9112, 5.2: no line that goes on with the one before it. */
        HEADERS {
            @Override
            boolean isProper(String line) {
                return !line.startsWith(" ") && !line.startsWith("\t");
            }
        },
        /** Ends with its length; nothing in it is a line. */
        BODY,
        /** RFC 9112, 7.1: a number, and perhaps extensions. */
        CHUNK_SIZE {
            @Override
            boolean isProper(String line) {
                int digits = sizeDigits(line);
                boolean ends = digits == line.length() || line.charAt(digits) == ';';
                return digits > 0
                        && digits <= MOST_SIZE_DIGITS
                        && ends
                        && chunkSize(line) <= Integer.MAX_VALUE;
            }
        },
        /** The bytes of a chunk; nothing in them is a line. */
        CHUNK,
        /** RFC 9112, 7.1: an empty line behind the bytes of a chunk. */
        CHUNK_END {
            @Override
            boolean isProper(String line) {
                return line.isEmpty();
            }
        },
        /** RFC 9112, 7.1.2: headers behind the last chunk. */
        TRAILERS {
            @Override
            boolean isProper(String line) {
                return HEADERS.isProper(line);
            }
        };

        /** Returns whether a line may stand in this part, its control characters aside. */
        boolean isProper(String line) {
            return true;
        }
    }

    /** Takes bytes that were decoded. */
    void onBytes(ByteBuf bytes, int from, int until) {
        int unused = bytes.forEachByte(from, until - from, this);
    }

    @Override
    public boolean process(byte letter) {
        if (mMalformed || mPart == Part.BODY) {
            return false;
        }
        if (mPart == Part.CHUNK) {
            mChunkLeft--;
            mPart = mChunkLeft == 0 ? Part.CHUNK_END : Part.CHUNK;
            return true;
        }
        mLine.append((char) (letter & 0xff));
        if (letter == '\n') {
            onLine();
        }
        return true;
    }

    private void onLine() {
        int end = mLine.length() - 2;
        boolean ended = end >= 0 && mLine.charAt(end) == '\r';
        String line = ended ? mLine.substring(0, end) : "";
        mLine.setLength(0);
        mMalformed = !ended || hasControl(line) || !mPart.isProper(line);
        if (!mMalformed) {
            mPart = next(line);
        }
    }

    private static boolean hasControl(String line) {
        return line.chars()
                .anyMatch(letter -> (letter < ' ' && letter != '\t') || letter == DELETE);
    }

    private static int sizeDigits(String line) {
        int digits = 0;
        while (digits < line.length() && Character.digit(line.charAt(digits), HEXADECIMAL) >= 0) {
            digits++;
        }
        return digits;
    }

    private static long chunkSize(String line) {
        return Long.parseLong(line, 0, sizeDigits(line), HEXADECIMAL);
    }

    private Part next(String line) {
        return switch (mPart) {
            case REQUEST_LINE -> line.isEmpty() ? Part.REQUEST_LINE : Part.HEADERS;
            case HEADERS -> line.isEmpty() ? Part.BODY : Part.HEADERS;
            case CHUNK_SIZE -> {
                mChunkLeft = chunkSize(line);
                yield mChunkLeft == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> Part.CHUNK_SIZE;
            case TRAILERS -> line.isEmpty() ? Part.REQUEST_LINE : Part.TRAILERS;
            case BODY, CHUNK -> mPart;
        };
    }

    /** Takes that the body behind the head that just ended comes in chunks. */
    void onChunkedHead() {
        mPart = Part.CHUNK_SIZE;
    }

    /** Takes the end of a request: a next one may follow. */
    void onRequestEnd() {
        mPart = Part.REQUEST_LINE;
    }

    /** Returns whether the malformed line stands behind a chunk, whose bytes are as they should. */
    boolean isMalformedAfterChunk() {
        return mMalformed && mPart == Part.CHUNK_END;
    }

    /** Returns whether a line was malformed, behind which nothing can be told. */
    boolean isMalformed() {
        return mMalformed;
    }
}
