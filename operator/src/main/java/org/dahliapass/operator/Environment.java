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
 * @param stores opens the store at an address
 * @param vms asks VMs
 * @param operationIds names accepts, each name once
 * @param clock the time
 * @param pause how long to wait before something is tried or asked again
 * @param output where results go
 * @param errors where everything else goes
 */
record Environment(
        Function<Endpoint, StoreClient> stores,
        VmOperations vms,
        Supplier<String> operationIds,
        Clock clock,
        Duration pause,
        PrintStream output,
        PrintStream errors) {}
