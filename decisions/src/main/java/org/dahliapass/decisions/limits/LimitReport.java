package org.dahliapass.decisions.limits;

/**
 * What the latest response of a target to a VM said of its request limit.
 *
 * @param statement the limit, or that there is none any more
 * @param statedMillis the time at which this was still so, in milliseconds
 */
public record LimitReport(LimitStatement statement, long statedMillis) {}
