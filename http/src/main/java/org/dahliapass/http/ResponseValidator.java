package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;

/**
 * Decides which bytes of a connection are the response to its request. Processes the bytes in
 * order, before they are decoded.
 */
final class ResponseValidator {
    /** The same limit as that of the decoder, for a line and for a whole head. */
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private final StringBuilder mLine = new StringBuilder();
    private ResponseBytes mBytes = new ResponseBytes();
    private Part mPart = Part.COMPLETE;
    private boolean mIsHeadRequest;
    private Head mHead = new Head();
    private long mRemaining;

    /** What the next byte of a response belongs to. */
    private enum Part {
        STATUS_LINE {
            @Override
            Part onLine(ResponseValidator response, String line) throws ProtocolException {
                response.mHead = new Head();
                response.mHead.mStatusLine = ResponseGrammar.statusLine(line);
                return FIELDS;
            }
        },
        FIELDS {
            @Override
            Part onLine(ResponseValidator response, String line) throws ProtocolException {
                if (line.isEmpty()) {
                    return response.onHead();
                }
                response.mHead.add(ResponseGrammar.field(line));
                return FIELDS;
            }
        },
        CHUNK_SIZE {
            @Override
            Part onLine(ResponseValidator response, String line) throws ProtocolException {
                response.mRemaining = ResponseGrammar.chunkSize(line);
                return response.mRemaining == 0 ? TRAILERS : CHUNK;
            }
        },
        /** The empty line after the data of a chunk. */
        CHUNK_END {
            @Override
            Part onLine(ResponseValidator response, String line) throws ProtocolException {
                if (!line.isEmpty()) {
                    throw new ProtocolException("A chunk exceeds its size.");
                }
                return CHUNK_SIZE;
            }
        },
        TRAILERS {
            @Override
            Part onLine(ResponseValidator response, String line) throws ProtocolException {
                if (line.isEmpty()) {
                    return COMPLETE;
                }
                if (Head.isFraming(ResponseGrammar.field(line))) {
                    throw new ProtocolException("A trailer describes the framing: " + line);
                }
                return TRAILERS;
            }
        },
        /** The data of a chunk. */
        CHUNK,
        /** A body with a Content-Length. */
        BODY,
        /** A body that ends with the connection. */
        BODY_UNTIL_END,
        /** The end of the response; further bytes belong to no request. */
        COMPLETE;

        /**
         * Processes a line without its end.
         *
         * @return the part that follows
         * @throws ProtocolException if no server may send the line here
         */
        Part onLine(ResponseValidator response, String line) throws ProtocolException {
            throw new IllegalStateException(this + " has no lines.");
        }
    }

    /** What one head says about the framing of its response. */
    private static final class Head {
        private ResponseGrammar.StatusLine mStatusLine;
        private boolean mIsChunked;
        private long mLength = -1;

        /** Returns whether a field says where the body ends. */
        static boolean isFraming(ResponseGrammar.Field field) {
            return HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(field.name())
                    || HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(field.name());
        }

        /**
         * Adds a field; at most one may describe the framing, or where the body ends is ambiguous
         * (RFC 9112, 6.3).
         */
        private void add(ResponseGrammar.Field field) throws ProtocolException {
            if (!isFraming(field)) {
                return;
            }
            if (mIsChunked || mLength >= 0) {
                throw new ProtocolException(
                        "The response has several Content-Length or Transfer-Encoding fields.");
            }
            if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(field.name())) {
                mLength = ResponseGrammar.length(field.value());
                return;
            }
            mIsChunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(field.value());
            if (!mIsChunked || mStatusLine.isHttp10()) {
                throw new ProtocolException(
                        "Unsupported transfer coding "
                                + field.value()
                                + "; expected chunked, in HTTP/1.1.");
            }
        }

        private boolean isInterim() {
            return HttpStatusClass.valueOf(mStatusLine.status()) == HttpStatusClass.INFORMATIONAL;
        }

        /** Returns whether the status allows no body, whatever the request was. */
        private boolean isBodiless() {
            return isInterim() || mStatusLine.status() == HttpResponseStatus.NO_CONTENT.code();
        }
    }

    /**
     * Prepares for the response to the next request.
     *
     * @param isHeadRequest whether it has no body because it answers a HEAD request
     */
    void begin(boolean isHeadRequest) {
        mPart = Part.STATUS_LINE;
        mIsHeadRequest = isHeadRequest;
        mBytes = new ResponseBytes();
        mLine.setLength(0);
    }

    /** Returns whether no byte is due, because the response is complete or none is expected. */
    boolean isComplete() {
        return mPart == Part.COMPLETE;
    }

    /** Returns whether the response is complete if the server ends the connection now. */
    boolean mayEnd() {
        return mPart == Part.COMPLETE || mPart == Part.BODY_UNTIL_END;
    }

    /**
     * Validates the readable bytes of a buffer without reading them.
     *
     * @return the index behind the last byte that belongs to the response
     * @throws ProtocolException if the bytes are no response that a server may send
     */
    int validate(ByteBuf bytes) throws ProtocolException {
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex() && mPart != Part.COMPLETE) {
            index = isWithinBody() ? skipBody(bytes, index) : readLine(bytes, index);
            if (mBytes.exceedsLimit()) {
                throw new ProtocolException("Too many bytes outside of the response's body.");
            }
        }
        return index;
    }

    private boolean isWithinBody() {
        return mPart == Part.CHUNK || mPart == Part.BODY || mPart == Part.BODY_UNTIL_END;
    }

    private int skipBody(ByteBuf bytes, int from) {
        int available = bytes.writerIndex() - from;
        long skipped = mPart == Part.BODY_UNTIL_END ? available : Math.min(available, mRemaining);
        mBytes.onBody(skipped);
        mRemaining -= skipped;
        if (mPart != Part.BODY_UNTIL_END && mRemaining == 0) {
            mPart = mPart == Part.CHUNK ? Part.CHUNK_END : Part.COMPLETE;
        }
        return from + (int) skipped;
    }

    private int readLine(ByteBuf bytes, int from) throws ProtocolException {
        int lineEnd = bytes.indexOf(from, bytes.writerIndex(), (byte) '\n');
        int until = lineEnd < 0 ? bytes.writerIndex() : lineEnd + 1;
        mBytes.onOverhead(until - from);
        if (mLine.length() + until - from > MAX_LINE_BYTES) {
            throw new ProtocolException("A line exceeds " + MAX_LINE_BYTES + " bytes.");
        }
        mLine.append(bytes.toString(from, until - from, StandardCharsets.ISO_8859_1));
        if (lineEnd >= 0) {
            mPart = mPart.onLine(this, takeLine());
        }
        return until;
    }

    /** Returns the line without its end, which consists of two characters (RFC 9112, 2.2). */
    private String takeLine() throws ProtocolException {
        int end = mLine.length() - 2;
        if (end < 0 || mLine.charAt(end) != '\r') {
            throw new ProtocolException("A line does not end with CRLF.");
        }
        String line = mLine.substring(0, end);
        mLine.setLength(0);
        return line;
    }

    /** Returns what follows the head (RFC 9112, 6.3). */
    private Part onHead() throws ProtocolException {
        int status = mHead.mStatusLine.status();
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new ProtocolException(
                    "The server sent an unrequested 101 Switching Protocols response.");
        }
        if (mHead.isBodiless() && (mHead.mIsChunked || mHead.mLength > 0)) {
            throw new ProtocolException("A response with status " + status + " has no body.");
        }
        if (mHead.isInterim()) {
            return Part.STATUS_LINE;
        }
        boolean isBodiless =
                mIsHeadRequest
                        || mHead.isBodiless()
                        || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (isBodiless || mHead.mLength == 0) {
            return Part.COMPLETE;
        }
        if (mHead.mIsChunked) {
            return Part.CHUNK_SIZE;
        }
        mRemaining = mHead.mLength;
        return mHead.mLength < 0 ? Part.BODY_UNTIL_END : Part.BODY;
    }
}
