package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.PartitionableLink.Partition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of a VM that is partitioned from all targets while callers and other VMs reach it. */
public final class GatewayPartitionTest {
    private static final int REQUESTS = 20;
    private static final int CUT = 0;
    private static final int OTHER = 1;

    /** Returns the partitions after which the VM has to find out that it reaches no target. */
    @DataProvider
    public static Object[][] partitions() {
        return new Object[][] {{Partition.RESET}, {Partition.REFUSE_NEW}, {Partition.SILENT}};
    }

    /** Guards against callers that get no service from a VM without a path to any target. */
    @Test(dataProvider = "partitions")
    public void requestsAreServedThroughAnotherVm(Partition partition) {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.partition(CUT, partition);
            awaitService(fixture, partition);
            assertServed(fixture);
        }
    }

    /** Guards against requests that fail once all open connections are in use. */
    @Test
    public void requestsBeyondTheOpenConnectionsAreServedThroughAnotherVm() throws IOException {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.behave(PartitionFixture::hangIfAsked);
            fixture.partition(CUT, Partition.REFUSE_NEW);
            List<Socket> hanging = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                hanging.add(fixture.open(CUT, "GET", "/r/hang-" + number));
            }
            assertServed(fixture);
            for (Socket connection : hanging) {
                connection.close();
            }
        }
    }

    private static void assertServed(PartitionFixture fixture) {
        List<String> failed = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            addIfFailed(failed, fixture.get(CUT, "/r/cut-" + number));
            addIfFailed(failed, fixture.post(CUT, "/l/cut-" + number));
        }
        assertEquals(failed, List.of());
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(fixture.received("/l/cut-" + number).size(), 1);
        }
    }

    /** Guards against requests that are suspected because a partition broke their connections. */
    @Test
    public void brokenConnectionsOfAPartitionSuspectNoRequest() throws IOException {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.behave(PartitionFixture::hangIfAsked);
            try (Socket caller = fixture.open(CUT, "POST", "/l/hang")) {
                GatewayFixture.await(() -> fixture.received("/l/hang").size() == 1);
                fixture.partition(CUT, Partition.RESET);
                GatewayFixture.await(() -> fixture.log(CUT).contains("connection_broken"));
                assertTrue(caller.getInputStream().read() > 0);
            }
            fixture.get(CUT, "/r/later");
            GatewayFixture.await(() -> fixture.log(CUT).contains(PartitionFixture.id("/r/later")));
            assertFalse(fixture.log(CUT).contains("request_treatment"), fixture.log(CUT));
        }
    }

    /** Guards against a VM that stays without a path to the targets after the partition. */
    @Test(dataProvider = "partitions")
    public void targetsAreReachedAfterThePartition(Partition partition) {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.partition(CUT, partition);
            fixture.get(CUT, "/r/noticed");
            fixture.heal(CUT);
            fixture.stop(OTHER);
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get(CUT, "/r/healed")) == 200);
            assertTrue(CallerStandIn.status(fixture.post(CUT, "/l/healed")) == 200);
        }
    }

    /** Waits until a silent partition is noticed; the others show with the first request. */
    private static void awaitService(PartitionFixture fixture, Partition partition) {
        if (partition != Partition.SILENT) {
            return;
        }
        List<Integer> statuses = new ArrayList<>();
        while (!statuses.contains(200)) {
            statuses.add(CallerStandIn.status(fixture.get(CUT, "/r/wait-" + statuses.size())));
            assertTrue(statuses.size() < REQUESTS, "no request is served: " + statuses);
        }
    }

    private static void addIfFailed(List<String> failed, String response) {
        if (CallerStandIn.status(response) != 200) {
            failed.add(response.lines().findFirst().orElse("closed"));
        }
    }
}
