package org.dahliapass.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import org.dahliapass.model.RequestKind;
import org.dahliapass.traffic.SlotRequest;

/**
 * One caller's request after it was matched with a template.
 *
 * @param id identifies the request in answers, logs and explanations
 * @param route the customer's way to the service
 * @param kind the request's kind
 * @param path the path and query as the target shall see them
 * @param message the request's headers and whole body
 * @param arrivalMillis when it arrived
 * @param deadlineMillis when an answer must have begun
 */
public record CallerRequest(
        String id,
        Route route,
        RequestKind kind,
        String path,
        AggregatedHttpRequest message,
        long arrivalMillis,
        long deadlineMillis)
        implements SlotRequest {

    @Override
    public String customer() {
        return route.customer();
    }

    /** Returns the milliseconds that are left, 0 at least. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
