package org.dahliapass.decisions.access;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.dahliapass.model.routing.Customer;
import org.dahliapass.model.routing.CustomerKeys;
import org.dahliapass.model.routing.KeyDigest;
import org.dahliapass.model.routing.RateLimit;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.ServiceShare;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Authenticator} and {@link Credentials}. */
public final class AuthenticatorTest {
    private static final Customer CUSTOMER =
            new Customer("c", OptionalInt.empty(), RateLimit.UNLIMITED);
    private static final CustomerKeys KEYS =
            CustomerKeys.required(
                    List.of(
                            new CustomerKeys.Entry(KeyDigest.of("one"), CUSTOMER),
                            new CustomerKeys.Entry(KeyDigest.of("two"), CUSTOMER)));

    @Test
    public void knownKeyIdentifiesItsCustomer() {
        CallerIdentity identity = identity(authenticate(KEYS, true, "Bearer two"));
        assertEquals(identity.customer().orElseThrow(), CUSTOMER);
        assertFalse(identity.forwardsCredentials());
    }

    @Test
    public void schemeIsCaseInsensitive() {
        assertTrue(identity(authenticate(KEYS, true, "bEARER one")).customer().isPresent());
    }

    @DataProvider
    public Object[][] unusableCredentials() {
        return new Object[][] {
            {List.of(), RejectionReason.NO_KEY},
            {List.of("Bearer one", "Bearer one"), RejectionReason.SEVERAL_KEYS},
            {List.of("Basic one"), RejectionReason.UNSUPPORTED_SCHEME},
            {List.of("one"), RejectionReason.UNSUPPORTED_SCHEME},
            {List.of(""), RejectionReason.UNSUPPORTED_SCHEME},
            {List.of("Bearer"), RejectionReason.UNSUPPORTED_SCHEME},
            {List.of("Bearer One"), RejectionReason.UNKNOWN_KEY},
            {List.of("Bearer one one"), RejectionReason.UNKNOWN_KEY},
            {List.of("Bearer \u0000\u00ff"), RejectionReason.UNKNOWN_KEY},
        };
    }

    @Test(dataProvider = "unusableCredentials")
    public void requestWithoutKnownKeyIsRejected(
            List<String> authorization, RejectionReason reason) {
        assertEquals(
                Authenticator.authenticate(KEYS, route(true), Credentials.parse(authorization)),
                new Authentication.Rejected(reason));
    }

    /** The key of a customer must not reach a target through a route that needs no key. */
    @Test
    public void exemptRouteAcceptsAnyCredentialsAndForwardsNone() {
        assertFalse(identity(authenticate(KEYS, false, "Bearer x")).forwardsCredentials());
        assertTrue(identity(authenticate(KEYS, false, "Bearer x")).customer().isEmpty());
        assertTrue(identity(authenticate(KEYS, false, "Bearer one")).customer().isPresent());
    }

    @Test
    public void deploymentWithoutCustomersForwardsCredentials() {
        CallerIdentity identity =
                identity(authenticate(CustomerKeys.notRequired(), true, "Basic one"));
        assertTrue(identity.customer().isEmpty());
        assertTrue(identity.forwardsCredentials());
    }

    /** Removing the last customer must not open the routes. */
    @Test
    public void emptyTableOfCustomersRejectsAllKeys() {
        assertEquals(
                authenticate(CustomerKeys.required(List.of()), true, "Bearer one"),
                new Authentication.Rejected(RejectionReason.UNKNOWN_KEY));
    }

    private static Authentication authenticate(
            CustomerKeys keys, boolean keyRequired, String authorization) {
        return Authenticator.authenticate(
                keys, route(keyRequired), Credentials.parse(List.of(authorization)));
    }

    private static CallerIdentity identity(Authentication authentication) {
        return ((Authentication.Accepted) authentication).identity();
    }

    private static RouteRule route(boolean keyRequired) {
        return new RouteRule(
                "route",
                "host",
                "/",
                RequestClass.SAFE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                keyRequired,
                List.of(new ServiceShare("s", 1)));
    }
}
