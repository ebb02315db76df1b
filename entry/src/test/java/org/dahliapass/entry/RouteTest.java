package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TemplateParser;
import org.testng.annotations.Test;

/** Tests that the provider's at-most-once kinds take precedence over the customer's. */
public final class RouteTest {
    private static final String KIND =
            "[kind desk %s]\nmethod = POST\npath = /%s/**\nidempotent = %s\ndeadline = 5s\n";
    private static final String PROVIDER =
            """
            [template]
            customer = himal
            [service desk]
            targets = 10.0.0.1:80@a
            slots = 3
            connections = 350
            floor = 50%
            cell = 6
            health-path = /health
            load-path = /load
            false-ejection-tolerance = 0.001
            failure-share = 50%
            slow-factor = 4
            """;
    private static final String USER =
            """
            [template]
            customer = valley
            [service desk]
            provider = himal
            """;

    private static ServiceTemplate service(String text) {
        return TemplateParser.parse("test.ini", text).services().get(0);
    }

    private static RequestKind kind(String providers, String users) {
        ServiceTemplate provided = service(PROVIDER + providers);
        ServiceTemplate own = service(USER + users);
        return new Route("valley", own, provided).kindOf("POST", "/sign-offs/7").orElseThrow();
    }

    // Otherwise a retry would run an operation twice that the provider declares at-most-once.
    @Test
    public void providersAtMostOnceOverridesCustomersIdempotent() {
        RequestKind kind =
                kind(
                        KIND.formatted("sign-off", "sign-offs", "no"),
                        KIND.formatted("sign-off", "sign-offs", "yes"));
        assertEquals(kind.idempotency(), Idempotency.AT_MOST_ONCE);
        assertTrue(kind.hedgeAfter().isZero());
        assertEquals(kind.retryShare(), 0.0);
    }

    @Test
    public void kindThatProviderDoesNotDeclareAtMostOnceStaysIdempotent() {
        RequestKind kind =
                kind(
                        KIND.formatted("listing", "listings", "yes"),
                        KIND.formatted("sign-off", "sign-offs", "yes"));
        assertEquals(kind.idempotency(), Idempotency.IDEMPOTENT);
    }
}
