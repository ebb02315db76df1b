package org.dahliapass.standins;

import java.util.List;
import joptsimple.OptionSet;
import org.dahliapass.kernel.MonotonicClock;

/** Runs the stand-in for the VM list as a process. */
public final class VmListMain extends StandInProgram {
    private VmListMain() {
        super("dahliapass-vm-list-stand-in", "stands in for the platform's VM list.");
    }

    /** Runs the program and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(new VmListMain().main(arguments, System.out, System.err).code());
    }

    @Override
    List<StandIn> create(OptionSet options) {
        return List.of(new VmListStandIn(port(options), new MonotonicClock()));
    }

    @Override
    String describe(List<StandIn> started) {
        return "vm-list=" + endpoints(started);
    }
}
