package org.dahliapass.lab.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;

/** Prints what the placement of work earns in scenarios, beside a plain way and a ceiling. */
public final class FleetMain extends Program {
    /** The scenarios that come with the tool. */
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
                    "calm");

    private static final int DEFAULT_RUNS = 8;

    private final PrintStream mOutput;

    private FleetMain(PrintStream output) {
        super("measure fleet", "Measures the placement of work on a virtual clock.");
        mOutput = output;
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        ExitCode code = new FleetMain(System.out).main(arguments, System.out, System.err);
        System.exit(code.code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        parser.accepts("seed", "The first seed.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(1);
        parser.accepts("runs", "Runs for each line, with different seeds.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_RUNS);
        parser.accepts("scenario", "Only this scenario; may be given several times.")
                .withRequiredArg();
        parser.accepts("production-only", "Without the plain way and the ceiling.");
    }

    @Override
    protected ExitCode run(OptionSet options) {
        List<String> names = new ArrayList<>();
        options.valuesOf("scenario").forEach(name -> names.add((String) name));
        mOutput.println(FleetResult.HEADER);
        for (String name : names.isEmpty() ? SCENARIOS : names) {
            Scenario scenario = Scenario.ofName(name);
            for (PlacementStrategy choice : PlacementStrategy.values()) {
                if (choice == PlacementStrategy.PRODUCTION || !options.has("production-only")) {
                    mOutput.println(line(scenario, choice, options));
                }
            }
        }
        return ExitCode.OK;
    }

    private static String line(Scenario scenario, PlacementStrategy choice, OptionSet options) {
        int first = (Integer) options.valueOf("seed");
        int runs = (Integer) options.valueOf("runs");
        List<FleetResult> figures =
                IntStream.range(first, first + runs)
                        .parallel()
                        .mapToObj(seed -> FleetSimulation.simulate(scenario, choice, seed))
                        .toList();
        return FleetResult.line(
                scenario.name(), choice.name().toLowerCase(java.util.Locale.ROOT), figures);
    }
}
