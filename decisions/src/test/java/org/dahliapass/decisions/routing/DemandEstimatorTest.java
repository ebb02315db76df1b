package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.CustomerKeys;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.ServiceShare;
import org.dahliapass.model.routing.TargetRegistration;
import org.testng.annotations.Test;

/** Tests of {@link DemandEstimator}. */
public final class DemandEstimatorTest {
    private static void assertWithinFactorOfTwo(double estimate, double expected) {
        assertTrue(
                estimate > expected / 2 && estimate < expected * 2,
                "estimate: " + estimate + ", expected about " + expected);
    }

    @Test
    public void estimatesMatchKnownLoads() {
        assertWithinFactorOfTwo(estimate(102, 800), 121);
        assertWithinFactorOfTwo(estimate(771, 1_050), 730);
        assertWithinFactorOfTwo(estimate(1_566, 2_050), 870);
    }

    @Test
    public void estimateIsZeroWithoutTargets() {
        assertEquals(estimate(0, 800), 0.0);
    }

    @Test
    public void targetsWithoutARouteAreIgnored() {
        assertEquals(
                DemandEstimator.requestsPerSecond(configuration(800, "other"), targets(10)), 0.0);
    }

    /** Guards against callers that move and reconnect at each target restart. */
    @Test
    public void smallCapacityChangesRarelyChangeTheEstimate() {
        long changes =
                IntStream.range(100, 200)
                        .filter(slots -> estimate(slots, 800) != estimate(slots + 1, 800))
                        .count();
        assertTrue(changes <= 4, changes + " changes");
    }

    private static double estimate(int slots, long objectiveMillis) {
        return DemandEstimator.requestsPerSecond(
                configuration(objectiveMillis, "x"), targets(slots));
    }

    private static RoutingConfiguration configuration(long objectiveMillis, String service) {
        RouteRule route =
                new RouteRule(
                        "reads",
                        "a.example",
                        "/r/",
                        RequestClass.SAFE,
                        Duration.ofSeconds(2),
                        Duration.ofMillis(objectiveMillis),
                        1,
                        2,
                        true,
                        List.of(new ServiceShare(service, 1)));
        return new RoutingConfiguration(
                1,
                List.of(route),
                Map.of(),
                CustomerKeys.notRequired(),
                new RequestLimits(1, 1, Duration.ZERO, Duration.ZERO));
    }

    private static List<TargetRegistration> targets(int count) {
        List<TargetRegistration> targets = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            targets.add(
                    new TargetRegistration(
                            "i-" + number,
                            "x",
                            new Endpoint("10.0.0." + number, 80),
                            "zone",
                            "",
                            1,
                            false,
                            Duration.ZERO,
                            1));
        }
        return targets;
    }
}
