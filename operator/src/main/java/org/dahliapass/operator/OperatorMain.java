package org.dahliapass.operator;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.Program;
import org.dahliapass.registry.HttpStoreClient;

/** The entry point of the operators' command. */
public final class OperatorMain extends Program {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final Environment mEnvironment;

    OperatorMain(Environment environment) {
        super(
                "dahliapass-operator",
                "SUBCOMMAND [ARGUMENT] OPTIONS. Subcommands: check FILE, accept FILE, show"
                        + " CUSTOMER, history CUSTOMER, resolve OPERATION-ID, status, explain,"
                        + " drain.");
        mEnvironment = environment;
    }

    /** Runs the command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        Environment environment = productionEnvironment(System.out, System.err);
        OperatorMain program = new OperatorMain(environment);
        System.exit(program.main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        option(parser, "store", "The configuration store's address, HOST:PORT.");
        option(parser, "base", "The number of the change on which the draft is based; 0 if none.");
        option(parser, "author", "The author of the change.");
        option(parser, "vm", "The operators' address of any VM, HOST:PORT.");
        option(parser, "target", "Only explanations of this target, HOST:PORT.");
        option(parser, "request", "Only explanations of this request id.");
        option(parser, "customer", "Only explanations of this customer.");
        option(parser, "since", "Only explanations of the last 30s, 10m or 2h.");
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        try {
            return subcommand(options.nonOptionArguments())
                    .run(new Invocation(options, mEnvironment));
        } catch (UsageException failure) {
            mEnvironment.errors().println(failure.getMessage() + " See --help.");
            return ExitCode.USAGE;
        }
    }

    private static Subcommand subcommand(List<?> arguments) {
        if (arguments.isEmpty()) {
            throw new UsageException("Expected a subcommand: " + Subcommand.names() + ".");
        }
        String name = arguments.get(0).toString();
        return Subcommand.find(name)
                .orElseThrow(
                        () ->
                                new UsageException(
                                        "Unknown subcommand '"
                                                + name
                                                + "'; expected one of "
                                                + Subcommand.names()
                                                + "."));
    }

    private static void option(OptionParser parser, String name, String meaning) {
        parser.accepts(name, meaning).withRequiredArg();
    }

    private static Environment productionEnvironment(PrintStream output, PrintStream errors) {
        return new Environment(
                store -> new HttpStoreClient(store, CALL_TIMEOUT),
                new HttpVmClient(CALL_TIMEOUT),
                () -> UUID.randomUUID().toString(),
                new MonotonicClock(),
                RETRY_DELAY,
                output,
                errors);
    }
}
