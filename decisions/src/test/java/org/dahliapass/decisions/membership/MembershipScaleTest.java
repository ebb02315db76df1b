package org.dahliapass.decisions.membership;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the load per VM and the detection time in a small and in a large fleet. */
public final class MembershipScaleTest {
    private static final long TIMEOUT_MILLIS = 120_000;
    private static final int SMALL = 64;
    private static final int LARGE = 512;
    private static final long SETTLE_MILLIS = 20_000;
    private static final long MEASUREMENT_SECONDS = 30;
    private static final double MAX_GROWTH = 1.1;
    private static final double MAX_DATAGRAMS_PER_SECOND = 3;
    private static final int SPREAD_PERIODS = 6;

    @Test(timeOut = TIMEOUT_MILLIS)
    public void loadPerVmIsIndependentOfFleetSize() {
        SimulatedFleet small = startedFleet(SMALL);
        SimulatedFleet large = startedFleet(LARGE);
        double smallDatagrams = datagramsPerVmAndSecond(small);
        double largeDatagrams = datagramsPerVmAndSecond(large);
        assertTrue(
                largeDatagrams <= smallDatagrams * MAX_GROWTH
                        && largeDatagrams <= MAX_DATAGRAMS_PER_SECOND,
                "Datagrams per VM and second: "
                        + smallDatagrams
                        + " in the small fleet, "
                        + largeDatagrams
                        + " in the large one");
        double smallBytes = (double) small.mDatagramBytes / small.mDatagrams;
        double largeBytes = (double) large.mDatagramBytes / large.mDatagrams;
        assertTrue(
                largeBytes <= smallBytes * MAX_GROWTH,
                "Bytes of updates per datagram: "
                        + smallBytes
                        + " in the small fleet, "
                        + largeBytes
                        + " in the large one");
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void lostVmIsDetectedInTime() {
        for (int size : new int[] {SMALL, LARGE}) {
            SimulatedFleet fleet = startedFleet(size);
            long period = MembershipSettings.defaults().period().toMillis();
            long maxMillis =
                    MembershipSettings.defaults().suspicionMillis(size) + SPREAD_PERIODS * period;
            fleet.kill(0);
            long killedMillis = fleet.mNowMillis;
            while (isStillMember(fleet) && fleet.mNowMillis - killedMillis <= 2 * maxMillis) {
                fleet.step();
            }
            long detectionMillis = fleet.mNowMillis - killedMillis;
            assertTrue(
                    detectionMillis <= maxMillis,
                    size
                            + " VMs: expected detection within "
                            + maxMillis
                            + " ms, took "
                            + detectionMillis
                            + " ms");
        }
    }

    private static SimulatedFleet startedFleet(int size) {
        SimulatedFleet fleet = new SimulatedFleet(size, MembershipSettings.defaults(), size);
        fleet.startAllJoined();
        fleet.run(SETTLE_MILLIS);
        assertTrue(
                fleet.mNodes.stream().allMatch(node -> SimulatedFleet.view(node).size() == size),
                "Expected " + size + " VMs to join within " + SETTLE_MILLIS + " ms");
        return fleet;
    }

    private static double datagramsPerVmAndSecond(SimulatedFleet fleet) {
        fleet.mDatagrams = 0;
        fleet.mDatagramBytes = 0;
        fleet.run(MEASUREMENT_SECONDS * 1000);
        return (double) fleet.mDatagrams / fleet.mNodes.size() / MEASUREMENT_SECONDS;
    }

    private static boolean isStillMember(SimulatedFleet fleet) {
        return fleet.mNodes.stream()
                .anyMatch(
                        node ->
                                node.isRunning()
                                        && node.mMembership.isMember(
                                                fleet.mNodes.get(0).identity()));
    }
}
