package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of targets that name a request limit in their responses. */
public final class GatewayTargetLimitTest {
    private static final int LOCKS = 40;

    /** What is tolerated in 4 s at a limit of 0.25 requests a second. */
    private static final int TOLERATED = 6;

    /** Guards against a target that gets more requests than the limit in its responses allows. */
    @Test
    public void requestsBeyondTheLimitGoToAnotherTarget() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            AtomicReference<SigningTargetStandIn> limited = new AtomicReference<>();
            for (SigningTargetStandIn target : fixture.mTargets) {
                target.setBehaviour(seen -> respond(target, limited));
            }
            for (int number = 0; number < LOCKS; number++) {
                assertEquals(CallerStandIn.status(fixture.post("/l/" + number, "")), 200);
            }
            int received = limited.get().receivedRequests().size();
            assertTrue(received <= TOLERATED, received + " requests in no time");
        }
    }

    /** Guards against requests beyond the limits of all targets that are sent or kept waiting. */
    @Test
    public void requestsBeyondAllLimitsAreRejected() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_LIMITED));
            List<String> responses = new ArrayList<>();
            for (int number = 0; number < LOCKS; number++) {
                responses.add(fixture.post("/l/" + number, ""));
            }
            long served =
                    responses.stream().filter(text -> CallerStandIn.status(text) == 200).count();
            assertTrue(served <= 2 * TOLERATED, served + " served");
            responses.removeIf(text -> CallerStandIn.status(text) == 200);
            for (String response : responses) {
                assertEquals(CallerStandIn.status(response), 503, response);
                assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
            }
        }
    }

    /** Guards against a log that doesn't tell whether a target named a limit. */
    @Test
    public void logNamesTheLimitOfAResponse() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_LIMITED));
            assertEquals(CallerStandIn.status(fixture.get("/r/limited")), 200);
            GatewayFixture.await(() -> log(fixture).contains("\"limit\":\"0.25\""));
        }
    }

    /** Guards against a malformed limit that fails a request which its target has answered. */
    @Test
    public void responseWithMalformedLimitIsDelivered() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_MALFORMED_LIMIT));
            assertEquals(CallerStandIn.status(fixture.get("/r/malformed")), 200);
            GatewayFixture.await(() -> log(fixture).contains("malformed: few"));
            assertTrue(log(fixture).contains("\"cause\":\"first\""), log(fixture));
        }
    }

    /** Makes the target of the first request limited, since it may be the one that is preferred. */
    private static Behaviour respond(
            SigningTargetStandIn target, AtomicReference<SigningTargetStandIn> limited) {
        limited.compareAndSet(null, target);
        return limited.get() == target ? Behaviour.RESPOND_LIMITED : Behaviour.RESPOND;
    }

    private static String log(GatewayFixture fixture) {
        return fixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
