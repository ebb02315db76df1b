package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.HashSet;
import java.util.Set;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** How one try at a target ended, as far as the answer's head tells. */
public sealed interface AttemptResult {

    /**
     * The target's answer has begun.
     *
     * @param target the target
     * @param headers the answer's head
     * @param body the answer's body as it arrives; fails visibly if it breaks off
     */
    record Responded(Endpoint target, ResponseHeaders headers, StreamMessage<HttpData> body)
            implements AttemptResult {}

    /**
     * The try failed.
     *
     * @param target the target
     * @param kind what the failure proves
     * @param message what happened
     */
    record Failed(Endpoint target, FailureKind kind, String message) implements AttemptResult {}

    /**
     * No target was tried.
     *
     * @param refusal the answer for the caller
     */
    record Refused(Refusal refusal) implements AttemptResult {}

    /** Returns the targets of failed tries joined with this one's, for exclusion. */
    static Set<Endpoint> union(Set<Endpoint> tried, Endpoint target) {
        Set<Endpoint> joined = new HashSet<>(tried);
        joined.add(target);
        return Set.copyOf(joined);
    }
}
