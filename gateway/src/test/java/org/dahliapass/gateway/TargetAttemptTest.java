package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.Authenticator;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.Credentials;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.http.UsedConnections;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.Slot;
import org.dahliapass.traffic.TargetEventListener;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link TargetAttempt}. */
public final class TargetAttemptTest {
    private static final RoutingConfiguration CONFIGURATION =
            ConfigurationDocument.decode(
                    GatewayFixtures.configuration(1, "/r/").getBytes(StandardCharsets.UTF_8));
    private static final RouteRule ROUTE = CONFIGURATION.routes().get(0);
    private static final RequestKind KIND = RequestKinds.of(ROUTE, CONFIGURATION.limits(), 0.5);

    private final MonotonicClock mClock = new MonotonicClock();
    private SigningTargetStandIn mTarget;
    private TargetConnections mConnections;
    private ServiceRuntime mRuntime;

    @BeforeMethod
    public void start() {
        mTarget = new SigningTargetStandIn("i-1");
        mTarget.start();
        EventLog log = new EventLog(mClock, "vm", new PrintStream(OutputStream.nullOutputStream()));
        mConnections =
                new TargetConnections(
                        mClock,
                        new EntryMetrics(),
                        log,
                        new RequestMemory(
                                new MemoryAccount(Long.MAX_VALUE),
                                mClock,
                                new EntryMetrics(),
                                log));
        mRuntime =
                new ServiceRuntime(
                        "a",
                        template(),
                        mClock,
                        new SplittableRandom(1),
                        new IgnoringListener(),
                        new EntryMetrics());
        mRuntime.onTargets(
                List.of(
                        new WeightedTarget(
                                new TargetInstance(mTarget.endpoint(), "i-1", "i-1@0"),
                                "a",
                                1,
                                true)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mConnections.stop().join();
        mTarget.close();
    }

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {new AvailabilityStatement(true, OptionalLong.empty(), List.of())},
            {new AvailabilityStatement(false, OptionalLong.of(3_000), List.of())}
        };
    }

    /** Guards against a request that waits for its connection while its target says no. */
    @Test(dataProvider = "statements")
    public void requestIsNotWrittenAfterItsTargetSaidNo(AvailabilityStatement statement) {
        Slot slot = mRuntime.acquire(request(), Set.of()).join();
        TargetAttempt attempt =
                new TargetAttempt(
                        request(),
                        slot,
                        new ServicePool(mRuntime, Map.of()),
                        mConnections,
                        mClock,
                        AttemptCause.FIRST,
                        () -> true,
                        new RequestCharges(mRuntime),
                        new UsedConnections());
        CompletableFuture<AttemptResult> result = new CompletableFuture<>();
        mConnections
                .loop()
                .execute(
                        () -> {
                            Futures.whenDone(
                                    attempt.send(identity()),
                                    (end, failure) -> result.complete(end));
                            mRuntime.onAvailabilityStatement(slot, statement);
                        });
        assertTrue(result.join() instanceof AttemptResult.Withdrawn, result.join().toString());
        assertEquals(mTarget.receivedRequests(), List.of());
        assertEquals(mRuntime.inFlight(), List.of());
    }

    private ProxyRequest request() {
        long now = mClock.millis();
        return new ProxyRequest(
                "id",
                1,
                ROUTE,
                "x",
                Credentials.parse(List.of()),
                identity(),
                KIND,
                "/r/1",
                HttpMethod.GET,
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                now,
                now + Duration.ofMinutes(1).toMillis(),
                false,
                Optional.empty());
    }

    private static CallerIdentity identity() {
        Authentication authentication =
                Authenticator.authenticate(
                        CONFIGURATION.keys(), ROUTE, Credentials.parse(List.of()));
        return ((Authentication.Accepted) authentication).identity();
    }

    private static ServiceTemplate template() {
        return new ServiceTemplate(
                "x",
                "x",
                List.of(),
                1,
                10,
                0.7,
                1,
                "/health",
                "/health",
                new DetectionPolicy(0.01, 0.3, 3, Duration.ofSeconds(2), Duration.ofSeconds(2)),
                List.of(KIND));
    }

    private static final class IgnoringListener implements TargetEventListener {
        @Override
        public void onOutcome(
                ServiceId service, Endpoint target, String kind, Outcome outcome, long latency) {}

        @Override
        public void onDraining(ServiceId service, Endpoint target) {}
    }
}
