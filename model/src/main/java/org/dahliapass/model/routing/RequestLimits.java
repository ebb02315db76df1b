package org.dahliapass.model.routing;

import java.time.Duration;

/**
 * The limits on client requests and connections.
 *
 * @param headerBytes the maximum size of the request headers, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time to receive the request headers
 * @param idleTimeout the maximum time that a connection may be idle
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
