package org.dahliapass.lab.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;

/** Measures the cost of the control plane and prints its projection to the design fleet size. */
public final class CapacityMain extends Program {
    private static final List<Benchmark> BENCHMARKS =
            List.of(
                    new MembershipBenchmark(),
                    new HealthBenchmark(),
                    new ConfigurationBenchmark(),
                    new DirectoryBenchmark(),
                    new GuardedOperationBenchmark(),
                    new OutcomeHistoryBenchmark());

    private OptionSpec<String> mJson;

    private CapacityMain() {
        super(
                "measure capacity",
                "Measures the cost of the control plane and projects it to a large fleet.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new CapacityMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mJson = parser.accepts("json", "Write all figures to this file.").withRequiredArg();
    }

    @Override
    protected ExitCode run(OptionSet options) {
        ResourceMeter meter = new ResourceMeter();
        Measurements measurements = new Measurements();
        BENCHMARKS.forEach(benchmark -> measurements.add(benchmark.run(meter)));
        CapacityReport report = new CapacityReport(measurements, ScenarioResults.run());
        report.lines().forEach(System.out::println);
        if (options.has(mJson)) {
            write(Path.of(options.valueOf(mJson)), report.json());
        }
        return ExitCode.OK;
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
