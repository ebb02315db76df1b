package org.dahliapass.lab.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;

/** Compares the production policy with simpler ones over a range of faults. */
public final class PolicyMain extends Program {
    private final PrintStream mOutput;

    private PolicyMain(PrintStream output) {
        super("measure policy", "Measures detection and false ejections on a virtual clock.");
        mOutput = output;
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        ExitCode code = new PolicyMain(System.out).main(arguments, System.out, System.err);
        System.exit(code.code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        parser.accepts("seed", "Base seed of all runs.")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts("runs", "Number of runs per row, each with its own seed.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(2);
        parser.accepts("json", "Also writes the results to this JSON file.").withRequiredArg();
        parser.accepts("svg", "Also writes the plots to this directory.").withRequiredArg();
        parser.accepts("fault", "Runs only faults whose title contains this text.")
                .withRequiredArg();
        parser.accepts("load", "Runs only this load, in percent.")
                .withRequiredArg()
                .ofType(Integer.class);
        parser.accepts("curve-only", "Runs only the tolerance curve.");
        parser.accepts("no-curve", "Omits the tolerance curve.");
    }

    @Override
    protected ExitCode run(OptionSet options) {
        PolicyTable table =
                new PolicyTable((Long) options.valueOf("seed"), (Integer) options.valueOf("runs"));
        List<ResultRow> rows = options.has("curve-only") ? List.of() : printTable(table, options);
        List<CurvePoint> curve = options.has("no-curve") ? List.of() : printCurve(table);
        if (options.has("json")) {
            write(new Figures(rows, curve), (String) options.valueOf("json"));
        }
        if (options.has("svg")) {
            PolicyPlots.write(Path.of((String) options.valueOf("svg")), rows, curve)
                    .forEach(file -> mOutput.println("wrote " + file));
        }
        return ExitCode.OK;
    }

    private List<ResultRow> printTable(PolicyTable table, OptionSet options) {
        List<ResultRow> rows = new ArrayList<>();
        mOutput.println(ResultRow.HEADER);
        for (Deployment deployment : List.of(Deployment.HIMAL_DESK, Deployment.VATULELE_RANKINGS)) {
            for (double load : PolicyTable.LOADS) {
                for (Fault fault : Fault.values()) {
                    if (isSelected(options, load, fault)) {
                        List<ResultRow> added = table.rows(deployment, load, fault);
                        added.forEach(mOutput::println);
                        rows.addAll(added);
                    }
                }
            }
        }
        Comparison.lines(rows).forEach(mOutput::println);
        return rows;
    }

    private static boolean isSelected(OptionSet options, double load, Fault fault) {
        if (options.has("load")
                && (Integer) options.valueOf("load") != (int) Math.round(load * 100)) {
            return false;
        }
        return !options.has("fault") || fault.title().contains((String) options.valueOf("fault"));
    }

    private List<CurvePoint> printCurve(PolicyTable table) {
        List<CurvePoint> curve = new ArrayList<>();
        mOutput.println(CurvePoint.HEADER);
        for (Deployment deployment : List.of(Deployment.HIMAL_DESK, Deployment.VATULELE_RANKINGS)) {
            for (double tolerance : PolicyTable.TOLERANCES) {
                CurvePoint point = CurvePoint.measure(table, deployment, tolerance);
                mOutput.println(point);
                curve.add(point);
            }
        }
        return curve;
    }

    private static void write(Figures results, String file) {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        try {
            mapper.writeValue(new File(file), results);
        } catch (IOException failure) {
            throw new OperationException(
                    "write the results", file, String.format(Locale.ROOT, "%s", failure));
        }
    }

    /**
     * The results, as written to the JSON file.
     *
     * @param rows the rows of the table
     * @param curve the points of the tolerance curve
     */
    record Figures(List<ResultRow> rows, List<CurvePoint> curve) {}
}
