package org.dahliapass.operator;

import java.util.Optional;

/**
 * Which explanations are asked for; an empty part matches all.
 *
 * @param target the target's address
 * @param request the request's id
 * @param customer the customer
 * @param sinceMillis the earliest time, milliseconds since 1970
 */
public record ExplanationQuery(
        Optional<String> target,
        Optional<String> request,
        Optional<String> customer,
        Optional<Long> sinceMillis) {}
