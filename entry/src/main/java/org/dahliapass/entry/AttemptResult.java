package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.HashSet;
import java.util.Set;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** The result of an attempt, known once the response headers have arrived. */
public sealed interface AttemptResult {

    /**
     * The target responded.
     *
     * @param target the target that responded
     * @param headers the response headers
     * @param body the response body; fails if it is truncated
     */
    record Responded(Endpoint target, ResponseHeaders headers, StreamMessage<HttpData> body)
            implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param target the target of the attempt
     * @param kind the failure kind, which tells whether the request may have run
     * @param message a description of the failure
     */
    record Failed(Endpoint target, FailureKind kind, String message) implements AttemptResult {}

    /**
     * The request was not sent to any target.
     *
     * @param refusal the refusal for the caller
     */
    record Refused(Refusal refusal) implements AttemptResult {}

    /** Returns the tried targets together with another one. */
    static Set<Endpoint> union(Set<Endpoint> tried, Endpoint target) {
        Set<Endpoint> union = new HashSet<>(tried);
        union.add(target);
        return Set.copyOf(union);
    }
}
