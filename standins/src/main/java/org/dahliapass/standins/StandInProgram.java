package org.dahliapass.standins;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;

/** Runs stand-ins until SIGTERM, after one ready line on the standard output. */
abstract class StandInProgram extends Program {
    private static final String PORT = "port";

    StandInProgram(String name, String purpose) {
        super(name, purpose);
    }

    /** Creates the stand-ins, not yet started. */
    abstract List<StandIn> create(OptionSet options);

    /** Returns the ready line's fields, for instance {@code store=127.0.0.1:40123}. */
    abstract String describe(List<StandIn> started);

    @Override
    protected void declareOptions(OptionParser parser) {
        declareNumber(parser, PORT, "0", "TCP port on 127.0.0.1; 0 takes a free one.");
    }

    @Override
    protected final ExitCode run(OptionSet options) throws InterruptedException {
        // Levels below go to the standard output, where they would drown the ready line.
        System.setProperty("tinylog.level", "warn");
        List<StandIn> standIns = create(options);
        standIns.forEach(StandIn::start);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> standIns.parallelStream().forEach(StandIn::close), "stop"));
        System.out.println("ready " + describe(standIns));
        System.out.flush();
        // The process ends by a signal, which runs the hook above.
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    static void declareNumber(OptionParser parser, String name, String standard, String help) {
        parser.accepts(name, help)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(Integer.valueOf(standard));
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
