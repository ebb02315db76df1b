package org.dahliapass.http;

import java.time.Duration;

/**
 * The timeouts of a client's connection.
 *
 * @param head the time limit from the first to the last byte of a request head
 * @param body the time limit between two reads of a request body
 * @param idle how long an open connection may have no request
 */
public record ServerTimeouts(Duration head, Duration body, Duration idle) {}
