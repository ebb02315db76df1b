package org.dahliapass.operator;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.StoreClient;

/**
 * The external dependencies of the command; replaced in tests.
 *
 * @param storeFactory creates a store client for an address
 * @param vms the client for VMs
 * @param operationIds generates unique operation ids
 * @param clock the clock
 * @param retryDelay the delay between retries and between polls
 * @param output the output for results
 * @param errors the output for errors and progress
 */
record Environment(
        Function<Endpoint, StoreClient> storeFactory,
        VmClient vms,
        Supplier<String> operationIds,
        Clock clock,
        Duration retryDelay,
        PrintStream output,
        PrintStream errors) {}
