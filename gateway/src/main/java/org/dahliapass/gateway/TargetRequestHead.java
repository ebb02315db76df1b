package org.dahliapass.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.http.HopByHopHeaders;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.platform.TargetHeaders;

/** Builds the headers of requests to targets. */
final class TargetRequestHead {
    /**
     * Guards against a caller or target that lists these headers in its Connection header, which
     * would remove the proof of the request's and the response's origin.
     */
    static final List<AsciiString> ALWAYS_FORWARDED =
            List.of(TargetHeaders.ATTEMPT_ID, TargetHeaders.SIGNATURE);

    private TargetRequestHead() {}

    /**
     * Returns the headers of a request to a target.
     *
     * @param received the headers that the caller sent
     * @param identity for whom the request is executed
     * @param instance the only target instance that may execute it
     * @param remainingMillis the time until the deadline, in milliseconds
     */
    static HttpHeaders of(
            HttpHeaders received,
            CallerIdentity identity,
            TargetInstance instance,
            long remainingMillis) {
        HttpHeaders headers = new DefaultHttpHeaders().set(received);
        HopByHopHeaders.strip(headers, ALWAYS_FORWARDED);
        removeAllSpellings(headers, TargetHeaders.CUSTOMER);
        if (!identity.forwardsCredentials()) {
            removeAllSpellings(headers, HttpHeaderNames.AUTHORIZATION);
        }
        identity.customer()
                .ifPresent(customer -> headers.set(TargetHeaders.CUSTOMER, customer.name()));
        headers.set(TargetHeaders.REMAINING_MILLIS, Long.toString(remainingMillis));
        headers.set(TargetHeaders.EXPECTED_INSTANCE, instance.name());
        return headers;
    }

    /** Removes a header, also if it is written with underscores, which some targets accept. */
    private static void removeAllSpellings(HttpHeaders headers, AsciiString name) {
        headers.remove(name);
        for (String other : List.copyOf(headers.names())) {
            if (name.contentEqualsIgnoreCase(other.replace('_', '-'))) {
                headers.remove(other);
            }
        }
    }
}
