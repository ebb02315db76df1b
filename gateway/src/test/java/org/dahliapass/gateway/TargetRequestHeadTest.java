package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.Authenticator;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.Credentials;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.routing.Customer;
import org.dahliapass.model.routing.CustomerKeys;
import org.dahliapass.model.routing.KeyDigest;
import org.dahliapass.model.routing.RateLimit;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.ServiceShare;
import org.dahliapass.platform.TargetHeaders;
import org.testng.annotations.Test;

/** Tests of {@link TargetRequestHead} with random spellings of the protected headers. */
public final class TargetRequestHeadTest {
    private static final int SEEDS = 500;
    private static final String KEY = "k3y";
    private static final String FORGED = "forged";
    private static final List<String> PROTECTED = List.of("Authorization", "X-Dahliapass-Tenant");

    /** No spelling may carry the key or a customer of the caller's choice to a target. */
    @Test
    public void noSpellingOfAProtectedHeaderIsForwarded() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            HttpHeaders received = new DefaultHttpHeaders();
            for (int count = random.nextInt(6); count >= 0; count--) {
                String name = spelling(PROTECTED.get(random.nextInt(2)), random);
                received.add(name, random.nextBoolean() ? "Bearer " + KEY : FORGED);
                if (random.nextBoolean()) {
                    received.add("Connection", name + ", close");
                }
            }
            HttpHeaders sent =
                    TargetRequestHead.of(
                            received,
                            identity(),
                            TargetInstance.atFixedAddress(new Endpoint("10.0.0.1", 80)),
                            1_000);
            assertEquals(sent.getAll(TargetHeaders.CUSTOMER), List.of("c"), "seed " + seed);
            for (Map.Entry<String, String> header : sent) {
                assertFalse(header.getValue().contains(KEY), "seed " + seed + ": " + header);
                assertFalse(header.getValue().contains(FORGED), "seed " + seed + ": " + header);
            }
        }
    }

    private static String spelling(String name, Random random) {
        StringBuilder spelling = new StringBuilder();
        for (int index = 0; index < name.length(); index++) {
            char letter = name.charAt(index);
            char other = random.nextBoolean() ? Character.toUpperCase(letter) : letter;
            spelling.append(other == '-' && random.nextInt(3) == 0 ? '_' : other);
        }
        return spelling.toString();
    }

    private static CallerIdentity identity() {
        Customer customer = new Customer("c", OptionalInt.empty(), RateLimit.UNLIMITED);
        CustomerKeys keys =
                CustomerKeys.required(List.of(new CustomerKeys.Entry(KeyDigest.of(KEY), customer)));
        RouteRule route =
                new RouteRule(
                        "route",
                        "host",
                        "/",
                        RequestClass.SAFE,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        0,
                        1,
                        true,
                        List.of(new ServiceShare("s", 1)));
        Authentication authentication =
                Authenticator.authenticate(
                        keys, route, Credentials.parse(List.of("Bearer " + KEY)));
        return ((Authentication.Accepted) authentication).identity();
    }
}
