package org.dahliapass.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.kernel.SettingsProblem;
import org.dahliapass.model.Endpoint;

/** Prints the error budget burn report, collected from all VMs of the fleet. */
public final class ReportMain extends Program {
    private static final String VM = "vm";
    private static final String CUSTOMER = "customer";
    private static final String JSON = "json";
    private static final String HTML = "html";
    private static final String TIMEOUT = "timeout";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9-]+");
    private static final int DEFAULT_TIMEOUT_SECONDS = 10;

    private final PrintStream mOutput;
    private final Clock mClock;

    /** Creates the program with its output and the clock for the time of the report. */
    public ReportMain(PrintStream output, Clock clock) {
        super(
                "dahliapass-report",
                "Prints the error budget burn rates of each customer's request kinds, collected"
                        + " from all VMs.");
        mOutput = output;
        mClock = clock;
    }

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] arguments) {
        ReportMain program = new ReportMain(System.out, new MonotonicClock());
        System.exit(program.main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        parser.accepts(VM, "Operators' address of any VM, HOST:PORT; may be given several times.")
                .withRequiredArg();
        parser.accepts(CUSTOMER, "Report on this customer only.").withRequiredArg();
        parser.accepts(JSON, "Print JSON instead of text.");
        parser.accepts(HTML, "Also write an HTML report with plots to this file.")
                .withRequiredArg();
        parser.accepts(TIMEOUT, "Response timeout for each VM, in seconds.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_TIMEOUT_SECONDS);
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        checkOptions(options);
        BurnReport report = collect(options);
        mOutput.print(options.has(JSON) ? JsonReport.of(report) : TextReport.of(report));
        mOutput.flush();
        if (options.has(HTML)) {
            writePage((String) options.valueOf(HTML), HtmlReport.of(report));
        }
        return report.answered().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private static void checkOptions(OptionSet options) {
        List<SettingsProblem> problems = new ArrayList<>();
        if (!options.has(VM)) {
            problems.add(problem("--vm", "nothing", "the operators' address of any VM, HOST:PORT"));
        }
        options.valuesOf(VM).stream()
                .map(String.class::cast)
                .filter(address -> Endpoint.parse(address).isEmpty())
                .forEach(
                        address -> problems.add(problem("--vm", "'" + address + "'", "HOST:PORT")));
        if (options.has(CUSTOMER) && !isName((String) options.valueOf(CUSTOMER))) {
            problems.add(
                    problem(
                            "--customer",
                            "'" + options.valueOf(CUSTOMER) + "'",
                            "letters, digits and hyphens"));
        }
        if ((int) options.valueOf(TIMEOUT) <= 0) {
            problems.add(problem("--timeout", "'" + options.valueOf(TIMEOUT) + "'", "1 or more"));
        }
        options.nonOptionArguments()
                .forEach(
                        argument ->
                                problems.add(
                                        problem("", "'" + argument + "'", "options; see --help")));
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }

    private static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    private static SettingsProblem problem(String option, String actual, String expected) {
        return new SettingsProblem("command line", "", option, actual, expected);
    }

    private BurnReport collect(OptionSet options) throws InterruptedException {
        List<String> contacts = options.valuesOf(VM).stream().map(String.class::cast).toList();
        Optional<String> customer = Optional.ofNullable((String) options.valueOf(CUSTOMER));
        Duration timeout = Duration.ofSeconds((int) options.valueOf(TIMEOUT));
        try {
            BurnAggregator burn = new BurnCollector(timeout, customer).collect(contacts).get();
            return burn.toReport(mClock.millis());
        } catch (ExecutionException failure) {
            throw new OperationException(
                    "collect",
                    "the fleet",
                    "Unexpected internal error; please report it.",
                    failure.getCause());
        }
    }

    private static void writePage(String file, String page) {
        try {
            Files.writeString(Path.of(file), page);
        } catch (IOException failure) {
            throw new OperationException(
                    "write HTML report",
                    file,
                    "Cannot write the file; choose another path.",
                    failure);
        }
    }
}
