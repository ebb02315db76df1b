package org.dahliapass.lab.limits;

/**
 * The result of one simulated run.
 *
 * @param worstUse the most requests of any window as a share of what the limit tolerates
 * @param refusedBelow the share of the requests within the limit that were refused
 * @param messagesPerVmSecond the messages that a VM sent per second
 */
public record LimitResult(double worstUse, double refusedBelow, double messagesPerVmSecond) {}
