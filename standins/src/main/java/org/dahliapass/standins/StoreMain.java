package org.dahliapass.standins;

import java.util.List;
import java.util.random.RandomGenerator;
import joptsimple.OptionSet;
import org.dahliapass.kernel.MonotonicClock;

/** Runs the stand-in for the configuration store as a process. */
public final class StoreMain extends StandInProgram {
    private StoreMain() {
        super("dahliapass-store-stand-in", "stands in for the configuration store.");
    }

    /** Runs the program and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(new StoreMain().main(arguments, System.out, System.err).code());
    }

    @Override
    List<StandIn> create(OptionSet options) {
        return List.of(
                new StoreStandIn(
                        port(options), new MonotonicClock(), RandomGenerator.getDefault()));
    }

    @Override
    String describe(List<StandIn> started) {
        return "store=" + endpoints(started);
    }
}
