package org.dahliapass.decisions.membership;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Counts what a VM sends in a small and in a large fleet, and how soon a lost VM is known. */
public final class MembershipScaleTest {
    private static final long MOST_TEST_MILLIS = 120_000;
    private static final int SMALL = 64;
    private static final int LARGE = 512;
    private static final long SETTLE_MILLIS = 20_000;
    private static final long COUNT_SECONDS = 30;
    private static final double MOST_GROWTH = 1.1;
    private static final double MOST_DATAGRAMS_PER_SECOND = 3;
    private static final int SPREAD_PERIODS = 6;

    @Test(timeOut = MOST_TEST_MILLIS)
    public void loadPerVmStaysTheSameInLargerFleet() {
        SimulatedFleet small = settled(SMALL);
        SimulatedFleet large = settled(LARGE);
        double smallDatagrams = datagramsPerVmAndSecond(small);
        double largeDatagrams = datagramsPerVmAndSecond(large);
        assertTrue(
                largeDatagrams <= smallDatagrams * MOST_GROWTH
                        && largeDatagrams <= MOST_DATAGRAMS_PER_SECOND,
                "Datagrams per VM and second grew from "
                        + smallDatagrams
                        + " to "
                        + largeDatagrams);
        double smallBytes = (double) small.mDatagramBytes / small.mDatagrams;
        double largeBytes = (double) large.mDatagramBytes / large.mDatagrams;
        assertTrue(
                largeBytes <= smallBytes * MOST_GROWTH,
                "Bytes of news per datagram grew from " + smallBytes + " to " + largeBytes);
    }

    @Test(timeOut = MOST_TEST_MILLIS)
    public void lostVmIsKnownInTime() {
        for (int size : new int[] {SMALL, LARGE}) {
            SimulatedFleet loop = settled(size);
            long period = MembershipSettings.defaults().period().toMillis();
            long bound =
                    MembershipSettings.defaults().suspicionMillis(size) + SPREAD_PERIODS * period;
            loop.kill(0);
            long killed = loop.mNowMillis;
            while (isSeen(loop) && loop.mNowMillis - killed <= 2 * bound) {
                loop.step();
            }
            long took = loop.mNowMillis - killed;
            assertTrue(took <= bound, size + " VMs: lost VM known after " + took + " of " + bound);
        }
    }

    private static SimulatedFleet settled(int size) {
        SimulatedFleet loop = new SimulatedFleet(size, MembershipSettings.defaults(), size);
        loop.startAllSettled();
        loop.run(SETTLE_MILLIS);
        assertTrue(
                loop.mNodes.stream().allMatch(node -> SimulatedFleet.view(node).size() == size),
                "The fleet of " + size + " hasn't joined within " + SETTLE_MILLIS + " ms.");
        return loop;
    }

    private static double datagramsPerVmAndSecond(SimulatedFleet loop) {
        loop.mDatagrams = 0;
        loop.mDatagramBytes = 0;
        loop.run(COUNT_SECONDS * 1000);
        return (double) loop.mDatagrams / loop.mNodes.size() / COUNT_SECONDS;
    }

    private static boolean isSeen(SimulatedFleet loop) {
        return loop.mNodes.stream()
                .anyMatch(
                        node ->
                                node.isRunning()
                                        && node.mMembership.isMember(
                                                loop.mNodes.get(0).identity()));
    }
}
