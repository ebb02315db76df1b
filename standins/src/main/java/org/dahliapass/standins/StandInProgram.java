package org.dahliapass.standins;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;

/** A program that starts stand-ins, prints one ready line and runs until SIGTERM. */
abstract class StandInProgram extends Program {
    private static final String PORT = "port";

    StandInProgram(String name, String purpose) {
        super(name, purpose);
    }

    /** Creates the stand-ins without starting them. */
    abstract List<StandIn> create(OptionSet options);

    /** Returns the ready line's fields, for instance {@code store=127.0.0.1:40123}. */
    abstract String describe(List<StandIn> started);

    @Override
    protected void declareOptions(OptionParser parser) {
        declareNumber(parser, PORT, "0", "TCP port on 127.0.0.1; 0 takes a free one.");
    }

    @Override
    protected final ExitCode run(OptionSet options) throws InterruptedException {
        // Lower levels go to the defaultValue output, where scripts read the ready line.
        System.setProperty("tinylog.level", "warn");
        List<StandIn> standIns = create(options);
        standIns.forEach(StandIn::start);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> standIns.parallelStream().forEach(StandIn::close), "stop"));
        System.out.println("ready " + describe(standIns));
        System.out.flush();
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    static void declareNumber(OptionParser parser, String name, String defaultValue, String help) {
        parser.accepts(name, help)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(Integer.valueOf(defaultValue));
    }

    static int number(OptionSet options, String name) {
        return (Integer) options.valueOf(name);
    }

    static int port(OptionSet options) {
        return number(options, PORT);
    }

    static String endpoints(List<StandIn> started) {
        return started.stream()
                .map(standIn -> standIn.endpoint().toString())
                .collect(Collectors.joining(","));
    }
}
