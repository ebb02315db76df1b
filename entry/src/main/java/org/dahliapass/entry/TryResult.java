package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.HashSet;
import java.util.Set;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** How one try at a target ended, as far as the answer's head tells. */
public sealed interface TryResult {

    /**
     * The target's answer has begun.
     *
     * @param target the target
     * @param headers the answer's head
     * @param body the answer's body as it arrives; fails visibly if it breaks off
     */
    record Answered(Endpoint target, ResponseHeaders headers, StreamMessage<HttpData> body)
            implements TryResult {}

    /**
     * The try failed.
     *
     * @param target the target
     * @param kind what the failure proves
     * @param message what happened
     */
    record Failed(Endpoint target, FailureKind kind, String message) implements TryResult {}

    /**
     * No target was tried.
     *
     * @param refusal the answer for the caller
     */
    record Refused(Refusal refusal) implements TryResult {}

    /** Returns the targets of failed tries joined with this one's, for exclusion. */
    static Set<Endpoint> join(Set<Endpoint> tried, Endpoint target) {
        Set<Endpoint> joined = new HashSet<>(tried);
        joined.add(target);
        return Set.copyOf(joined);
    }
}
