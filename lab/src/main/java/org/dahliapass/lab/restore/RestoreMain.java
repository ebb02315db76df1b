package org.dahliapass.lab.restore;

import java.util.SplittableRandom;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;

/** Measures how soon a configuration is in force after the store was restored from a copy. */
public final class RestoreMain extends Program {
    private static final int DEFAULT_VMS = 8;
    private static final int DEFAULT_RESTORES = 10;

    private OptionSpec<Integer> mVms;
    private OptionSpec<Integer> mRestores;
    private OptionSpec<Long> mSeed;

    private RestoreMain() {
        super(
                "measure restore",
                "Measures how soon a configuration is in force after restores of the store.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new RestoreMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mVms =
                parser.accepts("vms", "VMs of the fleet, all in this process.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(DEFAULT_VMS);
        mRestores =
                parser.accepts("restores", "Restores, one after the other.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(DEFAULT_RESTORES);
        mSeed =
                parser.accepts("seed", "Seed of the times and of what the copies lack.")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(1L);
    }

    @Override
    protected ExitCode run(OptionSet options) {
        System.out.println(RestoreResult.HEADER);
        int late = 0;
        try (RestoreExperiment experiment =
                new RestoreExperiment(
                        options.valueOf(mVms), new SplittableRandom(options.valueOf(mSeed)))) {
            for (int number = 1; number <= options.valueOf(mRestores); number++) {
                RestoreResult result = experiment.restore();
                System.out.println(result.row(number));
                late += result.lateVms();
            }
        }
        System.out.println("late in all: " + late);
        return ExitCode.OK;
    }
}
