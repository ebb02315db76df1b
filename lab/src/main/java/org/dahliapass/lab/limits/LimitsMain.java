package org.dahliapass.lab.limits;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.decisions.limits.LimitSharing;
import org.dahliapass.decisions.limits.LimitTolerance;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;
import org.dahliapass.model.routing.RateLimit;

/** Compares how the VMs of a fleet may share a customer's rate limit. */
public final class LimitsMain extends Program {
    private static final int[] FLEETS = {6, 24, 64};
    private static final double[] RATES = {8, 38, 137};
    private static final double[] TARGET_RATES = {2.6, 20};

    private OptionSpec<Integer> mRuns;
    private OptionSpec<Integer> mVms;
    private OptionSpec<Void> mTargets;

    private LimitsMain() {
        super("measure limits", "Compares how VMs may share a customer's rate limit.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new LimitsMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mRuns =
                parser.accepts("runs", "Runs of each scenario, each with another seed.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(5);
        mVms =
                parser.accepts("vms", "Only fleets of this many VMs.")
                        .withRequiredArg()
                        .ofType(Integer.class);
        mTargets =
                parser.accepts(
                        "targets", "Limits of targets, whose tolerance differs from customers'.");
    }

    @Override
    protected ExitCode run(OptionSet options) {
        int[] fleets = options.has(mVms) ? new int[] {options.valueOf(mVms)} : FLEETS;
        boolean isTarget = options.has(mTargets);
        System.out.println(
                "vms rate scenario        sharing worst_use refused_below messages_per_vm_second");
        for (int vms : fleets) {
            for (double rate : isTarget ? TARGET_RATES : RATES) {
                for (LimitScenario scenario : LimitScenario.all()) {
                    for (LimitSharing sharing : LimitSharing.values()) {
                        print(vms, rate, scenario, sharing, isTarget, options.valueOf(mRuns));
                    }
                }
            }
        }
        return ExitCode.OK;
    }

    private static void print(
            int vms,
            double rate,
            LimitScenario scenario,
            LimitSharing sharing,
            boolean isTarget,
            int runs) {
        RateLimit limit = new RateLimit(rate, isTarget ? 1 : rate);
        LimitTolerance tolerance =
                isTarget ? LimitSimulation.TARGET_TOLERANCE : LimitSimulation.CUSTOMER_TOLERANCE;
        List<LimitResult> results =
                LongStream.range(0, runs)
                        .mapToObj(
                                seed ->
                                        new LimitSimulation(
                                                        scenario, sharing, vms, limit, tolerance,
                                                        seed)
                                                .run())
                        .toList();
        System.out.printf(
                Locale.ROOT,
                "%3d %4.1f %-15s %-7s %9.2f %13.4f %22.2f%n",
                vms,
                rate,
                scenario.title(),
                sharing.name().toLowerCase(Locale.ROOT),
                results.stream().mapToDouble(LimitResult::worstUse).max().orElse(0),
                results.stream().mapToDouble(LimitResult::refusedBelow).average().orElse(0),
                results.stream().mapToDouble(LimitResult::messagesPerVmSecond).average().orElse(0));
    }
}
