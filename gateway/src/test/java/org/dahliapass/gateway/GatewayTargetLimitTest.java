package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of targets that name a request limit in their responses. */
public final class GatewayTargetLimitTest {
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

    private static String log(GatewayFixture fixture) {
        return fixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
