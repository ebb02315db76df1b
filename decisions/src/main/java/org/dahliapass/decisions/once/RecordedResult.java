package org.dahliapass.decisions.once;

import java.util.List;
import java.util.Optional;

/**
 * The response of the target that ran an operation, recorded for repeats.
 *
 * @param status the HTTP status
 * @param headers the selected headers
 * @param body the body; empty if it was too large to record, unlike a body of 0 bytes
 */
public record RecordedResult(
        int status, List<RecordedHeader> headers, Optional<RecordedBody> body) {

    /** Creates a result with a copy of the headers. */
    public RecordedResult {
        headers = List.copyOf(headers);
    }

    RecordedResult withoutBody() {
        return new RecordedResult(status, headers, Optional.empty());
    }

    RecordedResult statusOnly() {
        return new RecordedResult(status, List.of(), Optional.empty());
    }

    long bytes() {
        long headerBytes = headers.stream().mapToLong(RecordedHeader::bytes).sum();
        return headerBytes + body.map(RecordedBody::length).orElse(0);
    }
}
