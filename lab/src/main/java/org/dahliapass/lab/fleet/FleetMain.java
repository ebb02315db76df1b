package org.dahliapass.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;

/** Compares production request placement with baselines in simulated scenarios. */
public final class FleetMain extends Program {
    /** The built-in scenarios. */
    static final List<String> SCENARIOS =
            List.of(
                    "locks-errors",
                    "mixed-errors",
                    "reads-errors",
                    "locks-hangs",
                    "mixed-resets",
                    "busy-burst",
                    "cut-paths",
                    "many-targets",
                    "hundreds-of-targets",
                    "confirmations",
                    "lost-answers",
                    "poison",
                    "rack-lost",
                    "poison-slow",
                    "poison-slow-crowd",
                    "limited-targets",
                    "resting-targets",
                    "leaving-targets",
                    "hanging-reads",
                    "small-hanging-reads",
                    "shedding-targets",
                    "shedding-few",
                    "calm");

    private static final int DEFAULT_RUNS = 8;

    private final PrintStream mOutput;

    private FleetMain(PrintStream output) {
        super("measure fleet", "Simulates request placement on a virtual clock.");
        mOutput = output;
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        ExitCode code = new FleetMain(System.out).main(arguments, System.out, System.err);
        System.exit(code.code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        parser.accepts("seed", "Seed of the first run.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(1);
        parser.accepts("runs", "Number of runs per line, each with its own seed.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_RUNS);
        parser.accepts("scenario", "Runs only this scenario; may be repeated.").withRequiredArg();
        parser.accepts("file", "Runs only the scenario in this file; may be repeated.")
                .withRequiredArg();
        parser.accepts("production-only", "Omits the baselines.");
        parser.accepts("learn-response-times", "Learns response times in all scenarios.");
    }

    @Override
    protected ExitCode run(OptionSet options) {
        List<Scenario> scenarios = new ArrayList<>();
        options.valuesOf("scenario").forEach(name -> scenarios.add(Scenario.ofName((String) name)));
        options.valuesOf("file").forEach(path -> scenarios.add(readFile(Path.of((String) path))));
        if (scenarios.isEmpty()) {
            SCENARIOS.forEach(name -> scenarios.add(Scenario.ofName(name)));
        }
        if (options.has("learn-response-times")) {
            scenarios.replaceAll(each -> each.withPolicy(each.policy().withLearnedResponseTimes()));
        }
        mOutput.println(FleetResult.HEADER);
        for (Scenario scenario : scenarios) {
            for (PlacementStrategy strategy : PlacementStrategy.values()) {
                if (strategy == PlacementStrategy.PRODUCTION || !options.has("production-only")) {
                    mOutput.println(line(scenario, strategy, options));
                }
            }
        }
        return ExitCode.OK;
    }

    private static Scenario readFile(Path file) {
        try {
            String name = file.getFileName().toString().replaceFirst("\\.ini$", "");
            return Scenario.read(name, Files.readString(file));
        } catch (IOException failure) {
            throw new OperationException(
                    "read the scenario", file.toString(), failure.getMessage(), failure);
        }
    }

    private static String line(Scenario scenario, PlacementStrategy strategy, OptionSet options) {
        int firstSeed = (Integer) options.valueOf("seed");
        int runs = (Integer) options.valueOf("runs");
        List<FleetResult> figures =
                IntStream.range(firstSeed, firstSeed + runs)
                        .parallel()
                        .mapToObj(seed -> FleetSimulation.simulate(scenario, strategy, seed))
                        .toList();
        return FleetResult.line(
                scenario.name(), strategy.name().toLowerCase(java.util.Locale.ROOT), figures);
    }
}
