package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests that a request runs at the intended target instance only. */
public final class GatewayTargetInstanceTest {
    private static final int MAX_ROUNDS = 20;

    /**
     * Guards against a request without an expected instance, because its target joined after its
     * arrival: it may run at another service that reuses the address.
     */
    @Test
    public void requestNamesTargetThatJoinedLater() {
        try (GatewayFixture fixture = GatewayFixture.withoutTargets()) {
            SealingTargetStandIn first = fixture.mTargets.get(0);
            fixture.mStore.put(first.key(), first.registration("x", "ready"));
            boolean reached = false;
            for (int round = 0; round < MAX_ROUNDS && !reached; round++) {
                reached = isSentToTargetThatJoinedLater(fixture, first, "/r/waits" + round);
            }
            assertTrue(reached, "No request was sent to a target that joined after its arrival.");
        }
    }

    /** Returns whether the request was sent to the target that joined later. */
    private static boolean isSentToTargetThatJoinedLater(
            GatewayFixture fixture, SealingTargetStandIn first, String request) {
        try (SealingTargetStandIn foreign = new SealingTargetStandIn("i-foreign")) {
            foreign.start();
            CountDownLatch joined = new CountDownLatch(1);
            first.behave(seen -> shedOnceJoined(seen, request, joined));
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/r/warm")) == 200);
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> fixture.get(request));
            GatewayFixture.await(() -> fixture.seen(request) == 1);
            fixture.mStore.put("servers/i-gone", foreign.registration("x", "ready"));
            GatewayFixture.await(
                    () -> {
                        fixture.get("/r/probe");
                        return foreign.misdirected() > 0;
                    });
            int before = foreign.misdirected();
            joined.countDown();
            response.join();
            fixture.mStore.remove("servers/i-gone");
            assertEquals(foreign.seen().size(), 0, "Requests executed by a foreign service.");
            return foreign.misdirected() > before;
        }
    }

    private static Behaviour shedOnceJoined(
            SealingTargetStandIn.Seen seen, String request, CountDownLatch joined) {
        if (!seen.line().contains(request + " ")) {
            return Behaviour.ANSWER;
        }
        try {
            joined.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return Behaviour.SHED;
    }
}
