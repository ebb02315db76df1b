package org.dahliapass.lab.capacity;

import java.util.Arrays;

/** A correlated failure, simulated with the production membership code. */
enum FailureScenario {
    /** Loss of an availability zone: one VM in eight. */
    ZONE_LOST("availability zone lost, 1 VM in 8") {
        @Override
        void inject(MembershipSimulation fleet, int vms) {
            fleet.fail(number -> number % SampleFleet.ZONES == 0);
        }
    },
    /** Loss of a rack: 40 of 3,700 VMs. */
    RACK_LOST("rack lost, 40 VMs of 3,700") {
        @Override
        void inject(MembershipSimulation fleet, int vms) {
            fleet.fail(number -> number < rackSize(vms));
        }
    },
    /** Simultaneous replacement of 40 of 3,700 VMs. */
    REPLACED("40 VMs of 3,700 replaced at once") {
        @Override
        void inject(MembershipSimulation fleet, int vms) {
            fleet.replace(number -> number < rackSize(vms));
        }
    },
    /** Partition of the regions for three minutes; measured from the end of the partition. */
    REGIONS_SPLIT("regions partitioned for 3 minutes, then reconnected") {
        @Override
        void inject(MembershipSimulation fleet, int vms) {
            fleet.setPartitioned(true);
            for (int second = 0; second < PARTITION_SECONDS; second++) {
                fleet.advanceSecond();
            }
            fleet.setPartitioned(false);
        }
    };

    private static final int PARTITION_SECONDS = 180;
    private static final int WARM_UP_SECONDS = 90;
    private static final int MAX_SECONDS = 600;
    private static final double RACK_SHARE = 40.0 / 3_700;

    private final String mLabel;

    FailureScenario(String label) {
        mLabel = label;
    }

    /** Returns the description for the report. */
    String label() {
        return mLabel;
    }

    /** Injects the failure into a fleet of the given number of VMs. */
    abstract void inject(MembershipSimulation fleet, int vms);

    private static int rackSize(int vms) {
        return Math.max(1, (int) Math.round(RACK_SHARE * vms));
    }

    /**
     * The result of a simulation.
     *
     * @param vms size of the fleet
     * @param agreedSeconds seconds until all VMs have the correct member list; -1 if they never
     *     have
     * @param quietBytes mean bytes per second of a VM before the failure
     * @param meanPeakBytes highest mean bytes per second of a VM in any second
     * @param mostBytes highest bytes per second of any VM
     */
    record Result(
            int vms,
            int agreedSeconds,
            double quietBytes,
            double meanPeakBytes,
            double mostBytes) {}

    /** Simulates the failure in a fleet of the given number of VMs. */
    Result run(int vms) {
        MembershipSimulation fleet = new MembershipSimulation(vms);
        double quietBytes = 0;
        for (int second = 0; second < WARM_UP_SECONDS; second++) {
            quietBytes = Arrays.stream(fleet.advanceSecond()).average().orElse(0);
        }
        inject(fleet, vms);
        double meanPeakBytes = 0;
        double maxBytes = 0;
        int convergedSecond = -1;
        for (int second = 1; convergedSecond < 0 && second <= MAX_SECONDS; second++) {
            long[] bytes = fleet.advanceSecond();
            meanPeakBytes = Math.max(meanPeakBytes, Arrays.stream(bytes).average().orElse(0));
            maxBytes = Math.max(maxBytes, (double) Arrays.stream(bytes).max().orElse(0));
            convergedSecond = fleet.isConverged() ? second : -1;
        }
        return new Result(vms, convergedSecond, quietBytes, meanPeakBytes, maxBytes);
    }
}
