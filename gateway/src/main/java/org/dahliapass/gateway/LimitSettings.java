package org.dahliapass.gateway;

import org.dahliapass.decisions.limits.LimitSharing;
import org.dahliapass.decisions.limits.LimitTolerance;

/**
 * How the VMs hold the limits that apply to all of them together.
 *
 * @param sharing how the VMs divide a customer's rate limit
 * @param tolerance by how much a customer's rate limit may be exceeded
 * @param retries the retries and hedges of a service that are allowed in ten seconds beside the
 *     share of its first attempts, over all VMs together
 */
public record LimitSettings(LimitSharing sharing, LimitTolerance tolerance, double retries) {}
