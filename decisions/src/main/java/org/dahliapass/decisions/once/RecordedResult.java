package org.dahliapass.decisions.once;

import java.util.List;
import java.util.Optional;

/**
 * The answer of the target that ran an operation, as far as it is kept for repeats.
 *
 * @param status the HTTP status that the target answered
 * @param headers the selected headers of that answer
 * @param body the body; empty if it was too large to keep, which is not the same as a body of 0
 *     bytes
 */
public record RecordedResult(
        int status, List<RecordedHeader> headers, Optional<RecordedBody> body) {

    /** Copies the headers. */
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
