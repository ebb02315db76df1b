package org.dahliapass.lab.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** The results of the failure scenarios and rumor simulations at several fleet sizes. */
record ScenarioResults(
        Map<FailureScenario, List<FailureScenario.Result>> storms, List<RumorSpread> changes) {
    private static final int[] SIZES = {64, 128, 256};
    private static final int LARGE_SIZE = 512;
    private static final int[] RUMOR_SIZES = {256, 1_024, 3_700};

    /**
     * The spread of one change in a fleet.
     *
     * @param vms size of the fleet
     * @param result the result of the simulation
     */
    record RumorSpread(int vms, RumorSimulation.Result result) {}

    /** Runs all scenarios and rumor simulations. */
    static ScenarioResults run() {
        Map<FailureScenario, List<FailureScenario.Result>> storms =
                new EnumMap<>(FailureScenario.class);
        for (FailureScenario scenario : FailureScenario.values()) {
            IntStream sizes = IntStream.of(SIZES);
            if (scenario == FailureScenario.ZONE_LOST) {
                sizes = IntStream.concat(sizes, IntStream.of(LARGE_SIZE));
            }
            storms.put(scenario, sizes.mapToObj(scenario::run).toList());
        }
        List<RumorSpread> changes =
                IntStream.of(RUMOR_SIZES)
                        .mapToObj(vms -> new RumorSpread(vms, RumorSimulation.simulate(vms)))
                        .toList();
        return new ScenarioResults(storms, changes);
    }
}
