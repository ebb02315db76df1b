package org.dahliapass.lab.cost;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.Program;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.standins.GatewaySample;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.SealingTargetStandIn;

/** Runs a store and two targets, and writes the settings of one gateway VM for each round. */
public final class GatewayStageMain extends Program {
    private OptionSpec<String> mDirectory;
    private OptionSpec<Integer> mVms;

    private GatewayStageMain() {
        super("gateway-stage", "A store and two targets for gateway VMs that are measured.");
    }

    /** Runs until it is ended by a signal. */
    public static void main(String[] arguments) {
        System.exit(new GatewayStageMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declare(OptionParser parser) {
        mDirectory = parser.accepts("directory", "For settings files.").withRequiredArg();
        mVms =
                parser.accepts("vms", "How many settings files to write.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(1);
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        MetadataStoreStandIn store = new MetadataStoreStandIn(0, new MonotonicClock());
        List<SealingTargetStandIn> targets =
                List.of(new SealingTargetStandIn("i-1"), new SealingTargetStandIn("i-2"));
        store.start();
        targets.forEach(SealingTargetStandIn::start);
        targets.forEach(target -> store.put(target.key(), target.registration("x", "ready")));
        store.put(ConfigurationDocument.KEY, GatewaySample.configuration(1, "/r/"));
        Path directory = Path.of(options.valueOf(mDirectory));
        for (int number = 1; number <= options.valueOf(mVms); number++) {
            write(directory, number, GatewaySample.settings(store.endpoint()));
        }
        System.out.println("ready store=" + store.endpoint());
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static void write(Path directory, int number, String settings) {
        try {
            Files.writeString(directory.resolve("vm-" + number + ".ini"), settings);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
