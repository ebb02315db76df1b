package org.dahliapass.lab.cost;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.Program;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.SigningTargetStandIn;

/** Runs a store and two targets, and writes the settings of one gateway VM for each round. */
public final class GatewayStageMain extends Program {
    private static final long MILLIS_PER_SECOND = 1_000;

    private OptionSpec<String> mDirectory;
    private OptionSpec<Integer> mVms;
    private OptionSpec<Integer> mOthers;
    private OptionSpec<Integer> mChurn;

    private GatewayStageMain() {
        super("gateway-stage", "A store and two targets for gateway VMs that are measured.");
    }

    /** Runs until it is ended by a signal. */
    public static void main(String[] arguments) {
        System.exit(new GatewayStageMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mDirectory = parser.accepts("directory", "For settings files.").withRequiredArg();
        mVms =
                parser.accepts("vms", "How many settings files to write.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(1);
        mOthers = number(parser, "others", "Targets that nothing listens at.");
        mChurn = number(parser, "churn", "How many of them change a second.");
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        MetadataStoreStandIn store = new MetadataStoreStandIn(0, new MonotonicClock());
        List<SigningTargetStandIn> targets =
                List.of(new SigningTargetStandIn("i-1"), new SigningTargetStandIn("i-2"));
        store.start();
        targets.forEach(SigningTargetStandIn::start);
        targets.forEach(target -> store.put(target.key(), target.registration("x", "ready")));
        store.put(ConfigurationDocument.KEY, GatewayFixtures.configuration(1, "/r/"));
        Path directory = Path.of(options.valueOf(mDirectory));
        for (int number = 1; number <= options.valueOf(mVms); number++) {
            write(directory, number, GatewayFixtures.settings(store.endpoint()));
        }
        int others = options.valueOf(mOthers);
        for (int number = 0; number < others; number++) {
            putOther(store, number, number);
        }
        System.out.println("ready store=" + store.endpoint());
        int churn = options.valueOf(mChurn);
        int change = others;
        while (churn > 0) {
            TimeUnit.MILLISECONDS.sleep(MILLIS_PER_SECOND / churn);
            putOther(store, change % others, change);
            change++;
        }
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static OptionSpec<Integer> number(OptionParser parser, String name, String help) {
        return parser.accepts(name, help).withRequiredArg().ofType(Integer.class).defaultsTo(0);
    }

    /** Enters a target that no request goes to; another change gives it another time to warm up. */
    private static void putOther(MetadataStoreStandIn store, int number, int change) {
        store.put(
                "servers/other-" + number,
                "{\"service\":\"x\",\"address\":\"10.9."
                        + number / 200
                        + "."
                        + number % 200
                        + ":80\",\"zone\":\"zone-b\",\"state\":\"ready\",\"slots\":3,"
                        + "\"warmup_left_s\":"
                        + change
                        + "}");
    }

    private static void write(Path directory, int number, String settings) {
        try {
            Files.writeString(directory.resolve("vm-" + number + ".ini"), settings);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
