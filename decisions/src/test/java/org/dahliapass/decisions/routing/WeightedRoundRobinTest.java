package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.ServiceShare;
import org.testng.annotations.Test;

/** Tests of {@link WeightedRoundRobin}. */
public final class WeightedRoundRobinTest {
    private static final int REQUESTS = 50;

    @Test
    public void shortSequencesFollowTheWeights() {
        WeightedRoundRobin selector = new WeightedRoundRobin(new SplittableRandom(3));
        RouteRule route = route(new ServiceShare("a", 90), new ServiceShare("b", 10));
        for (int sequence = 0; sequence < 20; sequence++) {
            int toB = 0;
            for (int request = 0; request < REQUESTS; request++) {
                toB += selector.next(route).equals("b") ? 1 : 0;
            }
            assertTrue(Math.abs(toB - REQUESTS / 10) <= 1, toB + " of " + REQUESTS + " to b");
        }
    }

    @Test
    public void changedSharesApplyToTheNextRequest() {
        WeightedRoundRobin selector = new WeightedRoundRobin(new SplittableRandom(3));
        selector.next(route(new ServiceShare("a", 1), new ServiceShare("b", 1)));
        assertEquals(selector.next(route(new ServiceShare("c", 1))), "c");
    }

    @Test
    public void initialStateIsRandom() {
        RouteRule route = route(new ServiceShare("a", 50), new ServiceShare("b", 50));
        int firstToA = 0;
        for (int seed = 0; seed < 100; seed++) {
            firstToA +=
                    new WeightedRoundRobin(new SplittableRandom(seed)).next(route).equals("a")
                            ? 1
                            : 0;
        }
        assertTrue(firstToA > 25 && firstToA < 75, firstToA + " of 100 began with a");
    }

    private static RouteRule route(ServiceShare... shares) {
        return new RouteRule(
                "route",
                "host",
                "/",
                RequestClass.SAFE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                true,
                List.of(shares));
    }
}
