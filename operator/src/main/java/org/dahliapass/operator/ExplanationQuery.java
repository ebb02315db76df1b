package org.dahliapass.operator;

import java.util.Optional;

/**
 * A filter for explanations; empty fields match all.
 *
 * @param target the target's address
 * @param request the request's id
 * @param customer the customer's name
 * @param sinceMillis the earliest time, in milliseconds since 1970
 */
public record ExplanationQuery(
        Optional<String> target,
        Optional<String> request,
        Optional<String> customer,
        Optional<Long> sinceMillis) {}
