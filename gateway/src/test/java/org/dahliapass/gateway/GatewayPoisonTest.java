package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.platform.QuarantineEntry;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of requests that end each target that runs them. */
public final class GatewayPoisonTest {
    /** The targets that a request may end before it is kept from the others. */
    private static final int MOST_ENDED = 3;

    /**
     * The most that may end where several VMs have to hear of it: three, and three more while news
     * are on their way.
     */
    private static final int MOST_ENDED_BY_ALL = 6;

    private static final int ATTEMPTS = 8;

    /** Guards against a read that takes the service down, two targets with each attempt. */
    @Test
    public void readThatEndsItsTargetsIsQuarantined() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/r/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.get(0, "/r/poison");
            }
            assertTrue(fleet.ended() <= MOST_ENDED, fleet.ended() + " targets ended.");
            assertRefused(fleet.get(0, "/r/poison"));
            assertEquals(CallerStandIn.status(fleet.get(0, "/r/sound")), 200);
        }
    }

    /** Guards against a lock that takes the service down, one target with each attempt. */
    @Test
    public void lockThatEndsItsTargetsIsQuarantined() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(0, "/l/poison", "body");
            }
            assertTrue(fleet.ended() <= MOST_ENDED, fleet.ended() + " targets ended.");
            assertRefused(fleet.post(0, "/l/poison", "body"));
        }
    }

    /** Guards against a request that starts anew at each VM, as none hears of the others' ends. */
    @Test
    public void requestThatComesToAnyVmIsQuarantinedByAll() {
        try (FleetFixture fleet = new FleetFixture(2)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(attempt % 2, "/l/poison", "body");
            }
            assertTrue(fleet.ended() <= MOST_ENDED_BY_ALL, fleet.ended() + " targets ended.");
            assertRefused(fleet.post(0, "/l/poison", "body"));
            assertRefused(fleet.post(1, "/l/poison", "body"));
        }
    }

    /** Guards against a VM that starts later and ends three targets of its own. */
    @Test
    public void vmThatStartsLaterKnowsWhatIsQuarantined() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(0, "/l/poison", "body");
            }
            long ended = fleet.ended();
            GatewayFixture.await(() -> fleet.mStore.keys(QuarantineEntry.PREFIX).size() == 1);
            fleet.startVm();
            assertRefused(fleet.post(1, "/l/poison", "body"));
            assertEquals(fleet.ended(), ended);
        }
    }

    /** Guards against a read that is refused because another request ended the target it was at. */
    @Test
    public void requestBesideOneThatEndsItsTargetIsServed() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            AtomicInteger ends = new AtomicInteger();
            fleet.behave(
                    seen ->
                            seen.line().contains("/r/beside") && ends.getAndIncrement() < 1
                                    ? Behaviour.END_PROCESS
                                    : Behaviour.ANSWER);
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                assertEquals(CallerStandIn.status(fleet.get(0, "/r/beside")), 200);
            }
            assertEquals(fleet.ended(), 1);
        }
    }

    /** Guards against a target that is blamed on a request whose connection alone was closed. */
    @Test
    public void connectionsThatBreakDoNotQuarantine() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            fleet.behave(
                    seen -> seen.line().contains("/r/reset") ? Behaviour.CLOSE : Behaviour.ANSWER);
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                assertEquals(CallerStandIn.status(fleet.get(0, "/r/reset")), 502);
            }
            fleet.behave(seen -> Behaviour.ANSWER);
            assertEquals(CallerStandIn.status(fleet.get(0, "/r/reset")), 200);
        }
    }

    private static void poison(FleetFixture fleet, String path) {
        fleet.behave(
                seen ->
                        seen.line().contains(" " + path + " ")
                                ? Behaviour.END_PROCESS
                                : Behaviour.ANSWER);
    }

    private static void assertRefused(String answer) {
        assertEquals(CallerStandIn.status(answer), 503, answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
    }
}
