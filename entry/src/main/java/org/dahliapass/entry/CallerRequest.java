package org.dahliapass.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import org.dahliapass.model.RequestKind;
import org.dahliapass.traffic.SlotRequest;

/**
 * A caller's request with the route and the request kind that it matches.
 *
 * @param id the request id in responses, logs and explanations
 * @param route the route to the service's targets
 * @param kind the matching request kind
 * @param path the path and query sent to the target
 * @param message the headers and the complete body
 * @param arrivalMillis the arrival time in milliseconds since the epoch
 * @param deadlineMillis the time in milliseconds since the epoch by which the response must begin
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

    /** Returns the milliseconds until the deadline, or 0 if it has passed. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
