package org.dahliapass.model.routing;

/**
 * The request rate that a customer may send to the whole fleet.
 *
 * @param requestsPerSecond the sustained rate, in requests per second; 0 for no limit
 * @param burst the number of requests that may exceed the sustained rate at once
 */
public record RateLimit(double requestsPerSecond, double burst) {
    /** Allows any rate. */
    public static final RateLimit UNLIMITED = new RateLimit(0, 0);

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
