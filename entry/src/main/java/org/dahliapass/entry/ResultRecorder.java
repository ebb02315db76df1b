package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.once.RecordedBody;
import org.dahliapass.decisions.once.RecordedHeader;
import org.dahliapass.decisions.once.RecordedResult;

/** Copies a target's answer as it passes by, as far as it is worth keeping. */
final class ResultRecorder {
    private static final int MAX_BODY_BYTES = 16 * 1024;

    private final ResponseHeaders mHeaders;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mTooLarge;

    ResultRecorder(ResponseHeaders headers) {
        mHeaders = headers;
    }

    /** Copies a piece of the body. */
    synchronized void add(HttpData piece) {
        if (mTooLarge || mBody.size() + piece.length() > MAX_BODY_BYTES) {
            mTooLarge = true;
            return;
        }
        byte[] bytes = piece.array();
        mBody.write(bytes, 0, bytes.length);
    }

    /**
     * Returns what is kept.
     *
     * @param whole whether the body ended well; a body that broke off is not kept
     */
    synchronized RecordedResult result(boolean whole) {
        String type = mHeaders.get(HttpHeaderNames.CONTENT_TYPE);
        List<RecordedHeader> headers =
                type == null ? List.of() : List.of(new RecordedHeader("content-type", type));
        Optional<RecordedBody> body =
                whole && !mTooLarge
                        ? Optional.of(RecordedBody.copyOf(mBody.toByteArray()))
                        : Optional.empty();
        return new RecordedResult(mHeaders.status().code(), headers, body);
    }
}
