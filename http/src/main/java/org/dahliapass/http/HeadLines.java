package org.dahliapass.http;

import io.netty.buffer.ByteBuf;

/**
 * Looks at the lines of requests' heads as they come, for what decoding hides.
 *
 * <p>RFC 9112, 3: single blanks part the request line. RFC 9112, 5.2: no line begins with a blank,
 * which would go on with the header before it. Other readers take such lines in other ways, so that
 * a header is seen by one of them only.
 */
final class HeadLines {
    private boolean mInHead = true;
    private boolean mLineSeen;
    private boolean mMalformed;
    private int mWordEnd;

    /** Looks at what is about to be decoded: whole lines of a head, or of a body. */
    void onBytes(ByteBuf bytes) {
        if (!mInHead || mMalformed) {
            return;
        }
        boolean lineSeen = mLineSeen;
        boolean atLineStart = true;
        for (int place = bytes.readerIndex(); place < bytes.writerIndex(); place++) {
            byte letter = bytes.getByte(place);
            boolean blankLine = letter == '\r' || letter == '\n';
            if (atLineStart && blankLine && lineSeen) {
                return;
            }
            if (atLineStart && (letter == ' ' || letter == '\t')) {
                mMalformed = true;
                return;
            }
            lineSeen |= atLineStart && !blankLine;
            atLineStart = letter == '\n';
        }
    }

    /** Takes a word of the request line, in order, from its place in the line. */
    void onWord(byte[] line, int start, int length) {
        boolean first = !mLineSeen;
        boolean parted = first || (start == mWordEnd + 1 && line[mWordEnd] == ' ');
        mMalformed |= !parted;
        mLineSeen = true;
        mWordEnd = start + length;
    }

    /** Takes the end of a head; returns whether any of its lines was malformed. */
    boolean onHeadEnd() {
        boolean malformed = mMalformed;
        mInHead = false;
        mMalformed = false;
        return malformed;
    }

    /** Takes the end of a request: a next head may follow. */
    void onRequestEnd() {
        mInHead = true;
        mLineSeen = false;
    }
}
