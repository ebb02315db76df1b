package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.platform.QuarantineEntry;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of poison requests, which crash each target that runs them. */
public final class GatewayPoisonTest {
    /** The maximum number of crashed targets before a request is quarantined. */
    private static final int MAX_CRASHES = 3;

    /**
     * The maximum with several VMs: three more targets may crash while the reports are on their
     * way.
     */
    private static final int MAX_CRASHES_BY_FLEET = 6;

    private static final int ATTEMPTS = 8;

    /** Guards against a read that crashes two targets with each attempt. */
    @Test
    public void readThatCrashesTargetsIsQuarantined() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/r/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.get(0, "/r/poison");
            }
            assertTrue(
                    fleet.exitedTargets() <= MAX_CRASHES,
                    fleet.exitedTargets() + " targets crashed.");
            assertRefused(fleet.get(0, "/r/poison"));
            assertEquals(CallerStandIn.status(fleet.get(0, "/r/sound")), 200);
        }
    }

    /** Guards against a lock that crashes one target with each attempt. */
    @Test
    public void lockThatCrashesTargetsIsQuarantined() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(0, "/l/poison", "body");
            }
            assertTrue(
                    fleet.exitedTargets() <= MAX_CRASHES,
                    fleet.exitedTargets() + " targets crashed.");
            assertRefused(fleet.post(0, "/l/poison", "body"));
        }
    }

    /** Guards against VMs that ignore the crashes observed by others. */
    @Test
    public void poisonRequestIsQuarantinedByAllVms() {
        try (FleetFixture fleet = new FleetFixture(2)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(attempt % 2, "/l/poison", "body");
            }
            assertTrue(
                    fleet.exitedTargets() <= MAX_CRASHES_BY_FLEET,
                    fleet.exitedTargets() + " targets crashed.");
            assertRefused(fleet.post(0, "/l/poison", "body"));
            assertRefused(fleet.post(1, "/l/poison", "body"));
        }
    }

    /** Guards against a VM that starts later and crashes more targets. */
    @Test
    public void vmThatStartsLaterLoadsTheQuarantine() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            poison(fleet, "/l/poison");
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                fleet.post(0, "/l/poison", "body");
            }
            long exited = fleet.exitedTargets();
            GatewayFixture.await(() -> fleet.mStore.keys(QuarantineEntry.PREFIX).size() == 1);
            fleet.startVm();
            assertRefused(fleet.post(1, "/l/poison", "body"));
            assertEquals(fleet.exitedTargets(), exited);
        }
    }

    /** Guards against refusing a request because another one crashed the target it was at. */
    @Test
    public void requestThatCrashesOneTargetOnlyIsServed() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            AtomicInteger crashes = new AtomicInteger();
            fleet.behave(
                    seen ->
                            seen.requestLine().contains("/r/beside")
                                            && crashes.getAndIncrement() < 1
                                    ? Behaviour.CRASH
                                    : Behaviour.RESPOND);
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                assertEquals(CallerStandIn.status(fleet.get(0, "/r/beside")), 200);
            }
            assertEquals(fleet.exitedTargets(), 1);
        }
    }

    /** Guards against a quarantine because of broken connections alone. */
    @Test
    public void brokenConnectionsDoNotQuarantine() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            fleet.behave(
                    seen ->
                            seen.requestLine().contains("/r/reset")
                                    ? Behaviour.CLOSE
                                    : Behaviour.RESPOND);
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                assertEquals(CallerStandIn.status(fleet.get(0, "/r/reset")), 502);
            }
            fleet.behave(seen -> Behaviour.RESPOND);
            assertEquals(CallerStandIn.status(fleet.get(0, "/r/reset")), 200);
        }
    }

    private static void poison(FleetFixture fleet, String path) {
        fleet.behave(
                seen ->
                        seen.requestLine().contains(" " + path + " ")
                                ? Behaviour.CRASH
                                : Behaviour.RESPOND);
    }

    private static void assertRefused(String response) {
        assertEquals(CallerStandIn.status(response), 503, response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
    }
}
