package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.traffic.ServiceRuntime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of a gateway VM during changes of targets, the store and its own lifecycle. */
public final class GatewayLifecycleTest {
    /** The stop timeout of the VM. */
    private static final long STOP_MILLIS = 3_500;

    private static final int EARLY_BODY_BYTES = 50;

    private GatewayFixture mFixture;

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    /** A lock at a draining target may be lost with it. */
    @Test
    public void drainingTargetReceivesNoNewRequests() {
        mFixture.mStore.put(
                mFixture.mTargets.get(0).key(),
                mFixture.mTargets.get(0).registration("x", "draining"));
        GatewayFixture.await(
                () -> {
                    int previous = mFixture.mTargets.get(0).receivedRequests().size();
                    for (int number = 0; number < 10; number++) {
                        mFixture.get("/r/after");
                    }
                    return mFixture.mTargets.get(0).receivedRequests().size() == previous;
                });
        assertEquals(CallerStandIn.status(mFixture.get("/r/other")), 200);
    }

    /**
     * Guards against a VM that refuses locks until its first read, because new targets accept no
     * locks during their slow start.
     */
    @Test
    public void slowStartEndsWithoutRequests() {
        try (GatewayFixture fixture = GatewayFixture.withoutTargets()) {
            fixture.registerTargets();
            GatewayFixture.await(
                    () -> CallerStandIn.status(fixture.post("/l/first", "body")) == 200);
        }
    }

    /** Guards against refusing the callers that connect first when all VMs restart together. */
    @Test
    public void requestsWaitForTheFirstConfiguration() {
        try (GatewayFixture fixture =
                GatewayFixture.withoutConfiguration("startup-wait-ms = 10000\n")) {
            CompletableFuture<String> read =
                    CompletableFuture.supplyAsync(() -> sendPatiently(fixture, "GET /r/early"));
            CompletableFuture<String> lock =
                    CompletableFuture.supplyAsync(() -> sendPatiently(fixture, "POST /l/early"));
            GatewayFixture.await(
                    () ->
                            fixture.mLogOutput
                                            .toString(StandardCharsets.UTF_8)
                                            .split("request_awaits_configuration", -1)
                                            .length
                                    == 3);
            fixture.configure();
            assertEquals(CallerStandIn.status(read.join()), 200, read.join());
            assertEquals(CallerStandIn.status(lock.join()), 200, lock.join());
            assertEquals(fixture.seen("/l/early"), 1);
        }
    }

    /** Guards against a body read before the first configuration that is charged twice or kept. */
    @Test
    public void bodyReadBeforeTheConfigurationIsChargedOnce() {
        try (GatewayFixture fixture =
                GatewayFixture.withoutConfiguration("startup-wait-ms = 10000\n")) {
            String body = "x".repeat(EARLY_BODY_BYTES);
            fixture.mTargets.forEach(target -> target.setBehaviour(request -> Behaviour.HANG));
            CompletableFuture<String> lock =
                    CompletableFuture.supplyAsync(
                            () -> sendPatiently(fixture, "POST /l/charged", body));
            GatewayFixture.await(() -> heldForBodies(fixture) == EARLY_BODY_BYTES);
            // Long enough for a busy machine: the request must not time out before its target.
            fixture.mStore.put(
                    "op/config",
                    GatewayFixtures.configuration(1, "/r/")
                            .replace("\"unsafe\",1.2,0.8", "\"unsafe\",30,15"));
            GatewayFixture.await(() -> fixture.seen("/l/charged") == 1);
            assertEquals(heldForBodies(fixture), EARLY_BODY_BYTES);
            fixture.mTargets.forEach(SigningTargetStandIn::close);
            assertEquals(CallerStandIn.status(lock.join()), 502, lock.join());
            GatewayFixture.await(() -> heldForBodies(fixture) == 0);
        }
    }

    /** Guards against a body that stays charged after its request was refused during the start. */
    @Test
    public void bodyOfARefusedEarlyRequestIsReleased() {
        try (GatewayFixture fixture =
                GatewayFixture.withoutConfiguration("startup-wait-ms = 20\n")) {
            String response =
                    sendPatiently(fixture, "POST /l/refused", "x".repeat(EARLY_BODY_BYTES));
            assertEquals(CallerStandIn.status(response), 503, response);
            GatewayFixture.await(() -> heldForBodies(fixture) == 0);
            assertEquals(fixture.seen("/l/refused"), 0);
        }
    }

    private static int heldForBodies(GatewayFixture fixture) {
        String name = "dahliapass_held_bytes{reason=\"request_body\"} ";
        return CallerStandIn.get(fixture.mSettings.control(), "/metrics")
                .lines()
                .filter(line -> line.startsWith(name))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(name.length())))
                .findFirst()
                .orElseThrow();
    }

    private static String sendPatiently(GatewayFixture fixture, String call) {
        return sendPatiently(fixture, call, "");
    }

    /** Sends a request with a deadline that no busy machine reaches. */
    private static String sendPatiently(GatewayFixture fixture, String call, String body) {
        return fixture.caller()
                .sendRaw(
                        call
                                + " HTTP/1.1\r\nHost: a.example\r\nX-Dahliapass-Attempt-Id: early-"
                                + call.hashCode()
                                + "\r\nX-Dahliapass-Deadline-Ms: 600000\r\nConnection: close\r\n"
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body);
    }

    /** A request that nothing can serve must be refused in time for its caller to go elsewhere. */
    @Test
    public void waitForTheFirstConfigurationIsLimited() {
        try (GatewayFixture fixture =
                GatewayFixture.withoutConfiguration("startup-wait-ms = 20\n")) {
            assertEquals(CallerStandIn.status(fixture.get("/r/early")), 503);
            assertEquals(fixture.seen("/r/early"), 0);
        }
    }

    @Test
    public void newerConfigurationIsAppliedAndOlderOneIsIgnored() {
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(5, "/new/"));
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/new/1")) == 200);
        assertEquals(CallerStandIn.status(mFixture.get("/r/1")), 404);
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(4, "/r/"));
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(6, "/newest/"));
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/newest/1")) == 200);
        assertEquals(CallerStandIn.status(mFixture.get("/r/1")), 404);
    }

    /** A malformed configuration must not replace a valid one. */
    @Test
    public void malformedConfigurationLeavesLastOneInForce() {
        mFixture.mStore.put("op/config", "{\"version\":9,\"routes\":");
        mFixture.mStore.put(
                mFixture.mTargets.get(0).key(),
                mFixture.mTargets.get(0).registration("x", "draining"));
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/r/1")) == 200);
    }

    @Test
    public void requestsAreServedWhileStoreIsUnavailable() {
        mFixture.mStore.setUnavailable(true);
        for (int number = 0; number < 20; number++) {
            assertEquals(CallerStandIn.status(mFixture.get("/r/away" + number)), 200);
        }
        mFixture.mStore.setUnavailable(false);
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(5, "/back/"));
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/back/1")) == 200);
    }

    @Test
    public void changesBeforeCompactionAreApplied() {
        mFixture.mStore.setUnavailable(true);
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(5, "/lost/"));
        mFixture.mStore.compactHistory();
        mFixture.mStore.setUnavailable(false);
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/lost/1")) == 200);
    }

    /**
     * Guards against requests that fail during a planned stop: the draining VM is not ready and not
     * registered, but still serves requests.
     */
    @Test
    public void drainingVmIsNotReadyAndServesRequests() {
        GatewayFixture.await(() -> mFixture.mStore.keys("dahliapass/vms/").size() == 1);
        CompletableFuture<Void> drained = mFixture.mVm.drain();
        assertEquals(CallerStandIn.status(mFixture.get("/r/leaving")), 200);
        String readiness =
                CallerStandIn.get(mFixture.mSettings.readiness(), DiscoveryCalls.READINESS_PATH);
        assertEquals(CallerStandIn.status(readiness), 503);
        GatewayFixture.await(() -> mFixture.mStore.keys("dahliapass/vms/").equals(List.of()));
        drained.join();
    }

    /**
     * Guards against requests that wait or run and learn of no drain, because a target joined with
     * another number of slots.
     */
    @Test
    public void serviceKeepsItsRuntimeWhenSlotsChange() {
        ServicePools pools = mFixture.mVm.kernel().find(ServicePools.NAME, ServicePools.class);
        ServiceRuntime runtime = pools.find("x").orElseThrow().runtime();
        try (SigningTargetStandIn joining = new SigningTargetStandIn("i-more-slots")) {
            joining.start();
            String registration = joining.registration("x", "ready");
            mFixture.mStore.put(joining.key(), registration.replace("\"slots\":3", "\"slots\":8"));
            GatewayFixture.await(
                    () -> {
                        String unused = mFixture.get("/r/more");
                        return pools.find("x")
                                .orElseThrow()
                                .registrationAt(joining.endpoint())
                                .isPresent();
                    });
            assertSame(pools.find("x").orElseThrow().runtime(), runtime);
        }
    }

    /** Guards against a response that is cut, because its VM exits while the client reads it. */
    @Test
    public void drainEndsAfterTheClientHasClosedItsConnection() throws Exception {
        ManualClock clock = new ManualClock(Instant.EPOCH);
        try (GatewayFixture fixture = new GatewayFixture(clock);
                Socket client = new Socket()) {
            Endpoint callers = fixture.mSettings.self().callerEndpoint();
            client.connect(new InetSocketAddress(callers.host(), callers.port()));
            CompletableFuture<Void> drained = fixture.mVm.drain();
            String request = "GET /r/last HTTP/1.1\r\nHost: a.example\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = client.getInputStream().readAllBytes();
            assertTrue(response.length > 0);
            // Long enough for the drain to end, if it doesn't wait for the client.
            Thread.sleep(STOP_MILLIS);
            assertFalse(drained.isDone());
            client.shutdownOutput();
            drained.join();
        }
    }

    @Test
    public void discoveryReturnsThisVm() {
        GatewayFixture.await(
                () ->
                        CallerStandIn.get(
                                        mFixture.mSettings.discovery(),
                                        DiscoveryCalls.DISCOVERY_PATH
                                                + "?name=a.example&region=r&zone=zone-a")
                                .contains(mFixture.mSettings.self().callerEndpoint().toString()));
    }

    /** Other VMs read the mirror of this VM instead of the store. */
    @Test
    public void mirrorOfTheStoreIsServed() {
        String mirror =
                CallerStandIn.get(
                        mFixture.mSettings.self().peerEndpoint(),
                        StoreCalls.RANGE_PATH + "?prefix=");
        assertTrue(mirror.contains("op/config"), mirror);
        assertTrue(mirror.contains("servers/i-1"), mirror);
    }

    /** The platform bills each call to the store. */
    @Test
    public void storeCallsAreCountedByKind() {
        GatewayFixture.await(
                () ->
                        CallerStandIn.get(mFixture.mSettings.self().peerEndpoint(), "/metrics")
                                .contains("dahliapass_store_calls_total{call=\"watch\"}"));
    }

    /** Guards against a final 404 for a new route from a VM that receives no updates. */
    @Test
    public void unknownRouteIsRetriedWithoutRecentUpdates() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            assertEquals(CallerStandIn.status(fixture.get("/new/")), 404);
            fixture.mStore.setUnavailable(true);
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/new/")) == 503);
            fixture.mStore.setUnavailable(false);
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/new/")) == 404);
        }
    }
}
