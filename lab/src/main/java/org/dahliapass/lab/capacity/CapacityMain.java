package org.dahliapass.lab.capacity;

import java.util.List;

/** Trial. */
public final class CapacityMain {
    private CapacityMain() {}

    /** Runs. */
    public static void main(String[] arguments) {
        Probe probe = new Probe();
        for (Measures part :
                List.of(
                        new MembershipMeasures(),
                        new HealthMeasures(),
                        new ConfigurationMeasures(),
                        new OnceMeasures(),
                        new BurnMeasures())) {
            for (Slope s : part.take(probe)) {
                System.out.println(
                        s.quantity()
                                + " base "
                                + s.line().base()
                                + " slope "
                                + s.line().slope()
                                + " width "
                                + s.width()
                                + " miss "
                                + s.miss()
                                + " "
                                + s.points().stream()
                                        .map(p -> p.size() + ":" + p.spread().median())
                                        .toList());
            }
        }
    }
}
