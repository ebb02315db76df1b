package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;

/** One request of an {@link HttpClient}. Not thread-safe; used only on the client's event loop. */
public final class ClientCall {
    /** Methods whose requests have a Content-Length even without a body (RFC 9110, 8.6). */
    private static final Set<HttpMethod> METHODS_WITH_BODY =
            Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private final HttpMethod mMethod;
    private final String mPath;
    private final HttpHeaders mHeaders;
    private final ByteBuf mBody;
    private final UsedConnections mUsed;
    private final ResponseListener mListener;
    private ClientConnection mConnection;
    private boolean mFinished;

    ClientCall(
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            UsedConnections used,
            ResponseListener listener) {
        mMethod = method;
        mPath = path;
        mHeaders = headers;
        mBody = body;
        mUsed = used;
        mListener = listener;
    }

    /**
     * Aborts the call and resets its connection; the listener is not called again. Has no effect
     * after the end of the response.
     */
    public void abort() {
        mFinished = true;
        if (mConnection != null) {
            mConnection.close();
        }
    }

    /**
     * Ignores the rest of the response; the listener is not called again. The connection is reused
     * if the rest is short and arrives soon, and closed otherwise.
     */
    public void discardRest() {
        mFinished = true;
    }

    /** Pauses or resumes reading the response, to apply backpressure to the server. */
    public void setAutoRead(boolean reading) {
        if (mConnection != null) {
            mConnection.setAutoRead(reading);
        }
    }

    boolean isFinished() {
        return mFinished;
    }

    void attach(ClientConnection connection) {
        mConnection = connection;
        mUsed.add(connection);
    }

    /**
     * Asks the listener, right before the request is written, whether it is still wanted.
     *
     * @param reused whether the connection carried another request before
     */
    boolean isWanted(boolean reused) {
        return mListener.onConnected(mHeaders, reused);
    }

    ResponseListener listener() {
        return mListener;
    }

    HttpMethod method() {
        return mMethod;
    }

    FullHttpRequest toHttpRequest() {
        boolean hasLength = mBody.isReadable() || METHODS_WITH_BODY.contains(mMethod);
        mHeaders.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (hasLength) {
            mHeaders.set(HttpHeaderNames.CONTENT_LENGTH, mBody.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                mMethod,
                mPath,
                mBody.isReadable() ? mBody.retainedDuplicate() : Unpooled.EMPTY_BUFFER,
                mHeaders,
                EmptyHttpHeaders.INSTANCE);
    }

    void fail(Throwable failure) {
        if (!mFinished) {
            mFinished = true;
            mListener.onFailure(failure);
        }
    }

    /** Ends the call, whose connection may carry another one from now on. */
    void complete(HttpHeaders trailers) {
        mConnection = null;
        if (!mFinished) {
            mFinished = true;
            mListener.onEnd(trailers);
        }
    }
}
