package org.dahliapass.operator;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.StoreClient;

/**
 * What the command works with; tests bring their own.
 *
 * @param storeFactory opens the store at an address
 * @param vms asks VMs
 * @param operationIds names accepts, each name once
 * @param clock the time
 * @param retryDelay how long to wait before something is tried or asked again
 * @param output where results go
 * @param errors where everything else goes
 */
record Environment(
        Function<Endpoint, StoreClient> storeFactory,
        VmClient vms,
        Supplier<String> operationIds,
        Clock clock,
        Duration retryDelay,
        PrintStream output,
        PrintStream errors) {}
