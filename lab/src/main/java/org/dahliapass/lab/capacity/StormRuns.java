package org.dahliapass.lab.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Runs the storms and the spread of a change at several sizes. */
record StormRuns(Map<Storm, List<Storm.Result>> storms, List<Spreading> changes) {
    private static final int[] SIZES = {64, 128, 256};
    private static final int LARGE = 512;
    private static final int[] RUMOR_SIZES = {256, 1_024, 3_700};

    /**
     * The spread of one change.
     *
     * @param vms size of the fleet
     * @param result what it took
     */
    record Spreading(int vms, RumorRun.Result result) {}

    /** Runs everything. */
    static StormRuns run() {
        Map<Storm, List<Storm.Result>> storms = new EnumMap<>(Storm.class);
        for (Storm storm : Storm.values()) {
            IntStream sizes = IntStream.of(SIZES);
            if (storm == Storm.ZONE_LOST) {
                sizes = IntStream.concat(sizes, IntStream.of(LARGE));
            }
            storms.put(storm, sizes.mapToObj(storm::run).toList());
        }
        List<Spreading> changes =
                IntStream.of(RUMOR_SIZES)
                        .mapToObj(vms -> new Spreading(vms, RumorRun.of(vms)))
                        .toList();
        return new StormRuns(storms, changes);
    }
}
