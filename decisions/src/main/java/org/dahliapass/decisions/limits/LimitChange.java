package org.dahliapass.decisions.limits;

/**
 * A change of the request limit of a target, as a VM learned it.
 *
 * @param before the limit before
 * @param after the limit now
 */
public record LimitChange(LimitStatement before, LimitStatement after) {}
