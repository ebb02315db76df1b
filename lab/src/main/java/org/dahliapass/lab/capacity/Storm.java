package org.dahliapass.lab.capacity;

import java.util.Arrays;

/** A failure of many VMs at once, run over the real memberships. */
enum Storm {
    /** An availability zone fails: one VM in eight. */
    ZONE_LOST("availability zone lost, 1 VM in 8") {
        @Override
        void strike(StormFleet fleet, int vms) {
            fleet.fail(number -> number % SampleFleet.ZONES == 0);
        }
    },
    /** A rack fails: 40 of 3,700 VMs. */
    RACK_LOST("rack lost, 40 VMs of 3,700") {
        @Override
        void strike(StormFleet fleet, int vms) {
            fleet.fail(number -> number < shareOf(vms));
        }
    },
    /** Forty of 3,700 VMs are replaced at once. */
    REPLACED("40 VMs of 3,700 replaced at once") {
        @Override
        void strike(StormFleet fleet, int vms) {
            fleet.replace(number -> number < shareOf(vms));
        }
    },
    /** The regions don't hear each other for three minutes; counted from the healing on. */
    REGIONS_SPLIT("regions split for 3 minutes, then healed") {
        @Override
        void strike(StormFleet fleet, int vms) {
            fleet.setSplit(true);
            for (int second = 0; second < SPLIT_SECONDS; second++) {
                fleet.second();
            }
            fleet.setSplit(false);
        }
    };

    private static final int SPLIT_SECONDS = 180;
    private static final int SETTLE_SECONDS = 90;
    private static final int MOST_SECONDS = 600;
    private static final double PART = 40.0 / 3_700;

    private final String mLabel;

    Storm(String label) {
        mLabel = label;
    }

    /** Returns what happens, in words. */
    String label() {
        return mLabel;
    }

    /** Brings the failure about. */
    abstract void strike(StormFleet fleet, int vms);

    private static int shareOf(int vms) {
        return Math.max(1, (int) Math.round(PART * vms));
    }

    /**
     * What a storm cost.
     *
     * @param vms size of the fleet
     * @param agreedSeconds until all VMs hold the same and right list; -1 if they never did
     * @param quietBytes bytes a second of a VM before, on average
     * @param meanPeakBytes bytes a second of a VM in the worst second, on average over the VMs
     * @param mostBytes the same of the one VM with the most
     */
    record Result(
            int vms,
            int agreedSeconds,
            double quietBytes,
            double meanPeakBytes,
            double mostBytes) {}

    /** Runs the storm in a fleet of so many VMs. */
    Result run(int vms) {
        StormFleet fleet = new StormFleet(vms);
        double quiet = 0;
        for (int second = 0; second < SETTLE_SECONDS; second++) {
            quiet = Arrays.stream(fleet.second()).average().orElse(0);
        }
        strike(fleet, vms);
        double meanPeak = 0;
        double most = 0;
        int agreed = -1;
        for (int second = 1; agreed < 0 && second <= MOST_SECONDS; second++) {
            long[] bytes = fleet.second();
            meanPeak = Math.max(meanPeak, Arrays.stream(bytes).average().orElse(0));
            most = Math.max(most, (double) Arrays.stream(bytes).max().orElse(0));
            agreed = fleet.agrees() ? second : -1;
        }
        return new Result(vms, agreed, quiet, meanPeak, most);
    }
}
