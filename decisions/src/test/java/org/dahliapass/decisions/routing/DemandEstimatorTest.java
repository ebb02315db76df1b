package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.ServiceShare;
import org.dahliapass.model.routing.TargetRegistration;
import org.testng.annotations.Test;

/** Tests of {@link DemandEstimator}. */
public final class DemandEstimatorTest {
    /** Half to double the load known is near enough to choose VMs by. */
    private static void assertNear(double estimate, double known) {
        assertTrue(estimate > known / 2 && estimate < known * 2, estimate + " for " + known);
    }

    @Test
    public void knownLoadsAreMet() {
        assertNear(estimate(102, 800), 121);
        assertNear(estimate(771, 1_050), 730);
        assertNear(estimate(1_566, 2_050), 870);
    }

    @Test
    public void nothingIsExpectedWithoutTargets() {
        assertEquals(estimate(0, 800), 0.0);
    }

    @Test
    public void targetsWithoutARouteCountForNothing() {
        assertEquals(
                DemandEstimator.requestsPerSecond(configuration(800, "other"), targets(10)), 0.0);
    }

    /** Callers would change VMs, and open connections anew, with each target that restarts. */
    @Test
    public void targetsThatComeAndGoSeldomMoveCallers() {
        long moves =
                IntStream.range(100, 200)
                        .filter(slots -> estimate(slots, 800) != estimate(slots + 1, 800))
                        .count();
        assertTrue(moves <= 4, moves + " moves");
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
                        List.of(new ServiceShare(service, 1)));
        return new RoutingConfiguration(
                1, List.of(route), Map.of(), new RequestLimits(1, 1, Duration.ZERO, Duration.ZERO));
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
