package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.routing.CustomerKeys;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.ServiceShare;
import org.testng.annotations.Test;

/** Tests of {@link RouteTable}. */
public final class RouteTableTest {
    private static final RequestLimits LIMITS =
            new RequestLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));

    private final RouteTable mTable =
            new RouteTable(
                    new RoutingConfiguration(
                            1,
                            List.of(
                                    route("short", "a.example", "/x/"),
                                    route("long", "a.example", "/x/y/"),
                                    route("other", "b.example", "/")),
                            Map.of(),
                            CustomerKeys.notRequired(),
                            LIMITS));

    @Test
    public void longestMatchingPrefixWins() {
        assertEquals(mTable.find("a.example", "/x/y/z").orElseThrow().name(), "long");
    }

    @Test
    public void shorterPrefixMatchesOtherPaths() {
        assertEquals(mTable.find("a.example", "/x/yy").orElseThrow().name(), "short");
    }

    @Test
    public void hostMatchIgnoresPortAndCase() {
        assertEquals(mTable.find("B.Example:8080", "/any").orElseThrow().name(), "other");
    }

    @Test
    public void unknownHostHasNoRoute() {
        assertTrue(mTable.find("c.example", "/x/").isEmpty());
    }

    @Test
    public void pathWithoutTrailingSlashOfPrefixDoesNotMatch() {
        assertTrue(mTable.find("a.example", "/x").isEmpty());
    }

    private static RouteRule route(String name, String host, String prefix) {
        return new RouteRule(
                name,
                host,
                prefix,
                RequestClass.SAFE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                true,
                List.of(new ServiceShare("s", 1)));
    }
}
