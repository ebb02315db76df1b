package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
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
            SigningTargetStandIn first = fixture.mTargets.get(0);
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
            GatewayFixture fixture, SigningTargetStandIn first, String request) {
        try (SigningTargetStandIn foreign = new SigningTargetStandIn("i-foreign")) {
            foreign.start();
            CountDownLatch joined = new CountDownLatch(1);
            first.setBehaviour(seen -> shedOnceJoined(seen, request, joined));
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/r/warm")) == 200);
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> fixture.get(request));
            GatewayFixture.await(() -> fixture.seen(request) == 1);
            fixture.mStore.put("servers/i-gone", foreign.registration("x", "ready"));
            GatewayFixture.await(
                    () -> {
                        fixture.get("/r/probe");
                        return foreign.misdirectedCount() > 0;
                    });
            int before = foreign.misdirectedCount();
            joined.countDown();
            response.join();
            fixture.mStore.remove("servers/i-gone");
            assertEquals(
                    foreign.receivedRequests().size(),
                    0,
                    "Requests executed by a foreign service.");
            return foreign.misdirectedCount() > before;
        }
    }

    private static Behaviour shedOnceJoined(
            SigningTargetStandIn.ReceivedRequest seen, String request, CountDownLatch joined) {
        if (!seen.requestLine().contains(request + " ")) {
            return Behaviour.RESPOND;
        }
        try {
            joined.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return Behaviour.SHED;
    }
}
