package org.dahliapass.decisions.acceptance;

import org.dahliapass.model.Endpoint;

/**
 * A target began or ceased to shed requests persistently.
 *
 * @param target the target
 * @param isShedding whether it sheds now
 * @param probability the probability that it accepts a request
 */
public record AcceptanceChange(Endpoint target, boolean isShedding, double probability) {}
