package org.dahliapass.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** How one response is framed, and what has been written of it. */
final class ResponseFraming {
    private final HttpVersion mRequestVersion;
    private final boolean mHeadRequest;
    private boolean mChunked;
    private boolean mEndsWithConnection;
    private boolean mClosesAfter;
    private long mBodyBytes;

    private ResponseFraming(HttpVersion requestVersion, boolean headRequest, boolean closesAfter) {
        mRequestVersion = requestVersion;
        mHeadRequest = headRequest;
        mClosesAfter = closesAfter;
    }

    /** Returns the framing of the response to a request. */
    static ResponseFraming of(HttpRequest head) {
        return new ResponseFraming(
                head.protocolVersion(),
                HttpMethod.HEAD.equals(head.method()),
                !HttpUtil.isKeepAlive(head));
    }

    /** Returns the framing of the last response of a connection, which answers no valid request. */
    static ResponseFraming ofRejection() {
        return new ResponseFraming(HttpVersion.HTTP_1_1, false, true);
    }

    /** Returns whether the response answers a HEAD request and so has no body. */
    boolean isHeadRequest() {
        return mHeadRequest;
    }

    boolean isHttp10() {
        return mRequestVersion.equals(HttpVersion.HTTP_1_0);
    }

    /** Returns whether the body is sent in chunks. */
    boolean isChunked() {
        return mChunked;
    }

    /**
     * Sets how the body ends.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    void setLength(long length) {
        mChunked = length < 0 && mRequestVersion.equals(HttpVersion.HTTP_1_1);
        mEndsWithConnection = length < 0 && !mChunked;
        mClosesAfter |= mEndsWithConnection;
    }

    /** Returns whether nothing but the close of the connection ends the body. */
    boolean endsWithConnection() {
        return mEndsWithConnection;
    }

    /** Marks the response as the connection's last, with {@code Connection: close}. */
    void closeAfter() {
        mClosesAfter = true;
    }

    /** Returns whether the connection closes after the response. */
    boolean closesAfter() {
        return mClosesAfter;
    }

    /** Adds to the number of response body bytes written so far. */
    void addBodyBytes(long bytes) {
        mBodyBytes += bytes;
    }

    /** Returns the number of response body bytes written so far. */
    long bodyBytes() {
        return mBodyBytes;
    }
}
