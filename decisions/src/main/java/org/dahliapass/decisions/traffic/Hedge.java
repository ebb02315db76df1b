package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * A hedge whose slot is acquired and which is charged to the budget.
 *
 * @param target the target
 * @param reason why it is sent
 */
public record Hedge(Endpoint target, HedgeReason reason) {}
