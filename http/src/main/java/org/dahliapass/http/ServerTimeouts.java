package org.dahliapass.http;

import java.time.Duration;

/**
 * How long a client may take.
 *
 * @param head from the first byte of a request's head to its end
 * @param body without a further byte of a request's body
 * @param idle without any request on an open connection
 */
public record ServerTimeouts(Duration head, Duration body, Duration idle) {}
