package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests that no request runs at a service that it wasn't sent to. */
public final class GatewayTargetInstanceTest {
    private static final int MOST_ROUNDS = 20;

    /**
     * Guards against a request that names no instance, since its target joined after it came, and
     * that is run by whoever has the target's address by then.
     */
    @Test
    public void targetThatJoinedLaterIsNamed() {
        try (GatewayFixture path = GatewayFixture.withoutTargets()) {
            SealingTargetStandIn first = path.mTargets.get(0);
            path.mStore.put(first.key(), first.registration("x", "ready"));
            boolean reached = false;
            for (int round = 0; round < MOST_ROUNDS && !reached; round++) {
                reached = sendToOneThatJoinedLater(path, first, "/r/waits" + round);
            }
            assertTrue(reached, "No request came to a target that joined after it.");
        }
    }

    /** Returns whether the request was sent to the target that joined. */
    private static boolean sendToOneThatJoinedLater(
            GatewayFixture path, SealingTargetStandIn first, String request) {
        try (SealingTargetStandIn foreign = new SealingTargetStandIn("i-foreign")) {
            foreign.start();
            CountDownLatch joined = new CountDownLatch(1);
            first.behave(seen -> shedOnceJoined(seen, request, joined));
            GatewayFixture.await(() -> CallerStandIn.status(path.get("/r/warm")) == 200);
            CompletableFuture<String> waiting =
                    CompletableFuture.supplyAsync(() -> path.get(request));
            GatewayFixture.await(() -> path.seen(request) == 1);
            path.mStore.put("servers/i-gone", foreign.registration("x", "ready"));
            GatewayFixture.await(
                    () -> {
                        path.get("/r/probe");
                        return foreign.misdirected() > 0;
                    });
            int before = foreign.misdirected();
            joined.countDown();
            waiting.join();
            path.mStore.remove("servers/i-gone");
            assertEquals(foreign.seen().size(), 0, "Requests that a foreign service ran.");
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
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
        return Behaviour.SHED;
    }
}
