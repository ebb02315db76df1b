package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of targets that say in their responses that they are leaving or want a rest. */
public final class GatewayTargetAvailabilityTest {
    /** Guards against a log that doesn't tell which VM was told that a target is leaving. */
    @Test
    public void logNamesLeavingTargets() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_LEAVING));
            assertEquals(CallerStandIn.status(fixture.get("/r/leaving")), 200);
            GatewayFixture.await(() -> log(fixture).contains("\"leaving\":true"));
            GatewayFixture.await(() -> log(fixture).contains("target_leaving_stated"));
        }
    }

    /** Guards against a log that doesn't tell for how long a target wanted no requests. */
    @Test
    public void logNamesRequestedRests() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(target -> target.setBehaviour(seen -> Behaviour.SHED_RESTING));
            assertEquals(CallerStandIn.status(fixture.get("/r/resting")), 503);
            GatewayFixture.await(() -> log(fixture).contains("\"rest_ms\":3000"));
            GatewayFixture.await(() -> log(fixture).contains("target_rest_stated"));
        }
    }

    /** Guards against a malformed statement that fails a request which its target has answered. */
    @Test
    public void responseWithMalformedStatementIsDelivered() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_MALFORMED_LEAVING));
            assertEquals(CallerStandIn.status(fixture.get("/r/malformed")), 200);
            GatewayFixture.await(() -> log(fixture).contains("\"malformed\":[\"soon\"]"));
            assertTrue(!log(fixture).contains("target_leaving_stated"), log(fixture));
        }
    }

    private static String log(GatewayFixture fixture) {
        return fixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
