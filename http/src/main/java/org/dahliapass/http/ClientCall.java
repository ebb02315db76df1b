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

/** One request that a client sends; used on its event loop only. */
public final class ClientCall {
    /** Methods whose requests tell a length even without a body (RFC 9110, 8.6). */
    private static final Set<HttpMethod> USUALLY_WITH_BODY =
            Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private final HttpMethod mMethod;
    private final String mPath;
    private final HttpHeaders mHeaders;
    private final ByteBuf mBody;
    private final ResponseListener mListener;
    private ClientConnection mConnection;
    private boolean mOver;

    ClientCall(
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            ResponseListener listener) {
        mMethod = method;
        mPath = path;
        mHeaders = headers;
        mBody = body;
        mListener = listener;
    }

    /** Ends the call and closes its connection, which tells the server to stop. */
    public void abort() {
        mOver = true;
        if (mConnection != null) {
            mConnection.close();
        }
    }

    /** Stops or goes on reading the answer, for a reader that is slower than the server. */
    public void setAutoRead(boolean reading) {
        if (mConnection != null) {
            mConnection.setAutoRead(reading);
        }
    }

    boolean isFinished() {
        return mOver;
    }

    void attach(ClientConnection connection) {
        mConnection = connection;
    }

    ResponseListener listener() {
        return mListener;
    }

    HttpMethod method() {
        return mMethod;
    }

    FullHttpRequest message() {
        boolean framed = mBody.isReadable() || USUALLY_WITH_BODY.contains(mMethod);
        mHeaders.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (framed) {
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
        if (!mOver) {
            mOver = true;
            mListener.onFailure(failure);
        }
    }

    void end(HttpHeaders trailers) {
        if (!mOver) {
            mOver = true;
            mListener.onEnd(trailers);
        }
    }
}
