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

/** Records a response while it is relayed, with a body of up to 16 KiB, for later replay. */
final class ResultRecorder {
    private static final int MAX_BODY_BYTES = 16 * 1024;

    private final ResponseHeaders mHeaders;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mTooLarge;

    ResultRecorder(ResponseHeaders headers) {
        mHeaders = headers;
    }

    /** Appends a chunk of the body; a body above the limit is dropped. */
    synchronized void add(HttpData chunk) {
        if (mTooLarge || mBody.size() + chunk.length() > MAX_BODY_BYTES) {
            mTooLarge = true;
            return;
        }
        byte[] bytes = chunk.array();
        mBody.write(bytes, 0, bytes.length);
    }

    /**
     * Returns the recorded result.
     *
     * @param complete whether the body was received completely; a truncated body is not recorded
     */
    synchronized RecordedResult result(boolean complete) {
        String type = mHeaders.get(HttpHeaderNames.CONTENT_TYPE);
        List<RecordedHeader> headers =
                type == null ? List.of() : List.of(new RecordedHeader("content-type", type));
        Optional<RecordedBody> body =
                complete && !mTooLarge
                        ? Optional.of(RecordedBody.copyOf(mBody.toByteArray()))
                        : Optional.empty();
        return new RecordedResult(mHeaders.status().code(), headers, body);
    }
}
