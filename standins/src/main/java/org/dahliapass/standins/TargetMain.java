package org.dahliapass.standins;

import java.time.Clock;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dahliapass.kernel.MonotonicClock;

/** Runs the stand-ins for one or more targets as a process. */
public final class TargetMain extends StandInProgram {
    private TargetMain() {
        super("dahliapass-target-stand-in", "stands in for targets.");
    }

    /** Runs the program and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(new TargetMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        super.declareOptions(parser);
        declareNumber(parser, "count", "1", "Number of targets; they use consecutive ports.");
        declareNumber(parser, "slots", "3", "Number of slots of each target.");
        declareNumber(parser, "service-millis", "5", "Service time of a request, in milliseconds.");
        declareNumber(parser, "cold-millis", "0", "Duration of the cold start, in milliseconds.");
        declareNumber(
                parser,
                "seed",
                "1",
                "Seed of the first target; incremented for each further target.");
    }

    @Override
    List<StandIn> create(OptionSet options) {
        Clock clock = new MonotonicClock();
        return IntStream.range(0, number(options, "count"))
                .<StandIn>mapToObj(index -> create(options, index, clock))
                .toList();
    }

    private static TargetStandIn create(OptionSet options, int index, Clock clock) {
        TargetSettings settings =
                new TargetSettings(
                        number(options, "slots"),
                        number(options, "service-millis"),
                        number(options, "cold-millis"),
                        number(options, "seed") + index);
        int port = port(options) == 0 ? 0 : port(options) + index;
        return new TargetStandIn(port, settings, clock);
    }

    @Override
    String describe(List<StandIn> started) {
        String controls =
                started.stream()
                        .map(target -> ((TargetStandIn) target).controlEndpoint().toString())
                        .collect(Collectors.joining(","));
        return "targets=" + endpoints(started) + " controls=" + controls;
    }
}
