package org.dahliapass.gateway;

import java.util.OptionalInt;
import org.dahliapass.decisions.traffic.TrafficPolicy;

/**
 * The settings of a VM for high load.
 *
 * @param traffic which mechanisms the traffic decisions use
 * @param pipelinedRequests the maximum number of requests of one connection that are processed
 *     concurrently
 * @param tracksReplacedTargets whether a target is avoided once another instance has responded at
 *     its address
 * @param passesOnWhenBusy whether a request that would be refused because this VM lacks a resource
 *     of its own is served by another VM
 * @param startupWaitMillis how long a request waits at most for the first configuration of a VM
 *     that starts, in milliseconds; 0 to refuse it at once
 * @param memoryMegabytes the memory of the machine, in megabytes; empty for no limit
 * @param descriptors the file descriptors that the process may open; empty for no limit
 */
public record LoadSettings(
        TrafficPolicy traffic,
        int pipelinedRequests,
        boolean tracksReplacedTargets,
        boolean passesOnWhenBusy,
        long startupWaitMillis,
        OptionalInt memoryMegabytes,
        OptionalInt descriptors) {}
