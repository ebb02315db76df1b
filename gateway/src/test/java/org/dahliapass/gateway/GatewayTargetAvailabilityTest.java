package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.PartitionableLink.Partition;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.standins.SigningTargetStandIn.ReceivedRequest;
import org.testng.annotations.Test;

/** Tests of targets that say in their responses that they are leaving or want a rest. */
public final class GatewayTargetAvailabilityTest {
    private static final int REQUESTS = 40;

    /** The rest for which a stand-in asks. */
    private static final Duration REST = Duration.ofSeconds(3);

    private static final Pattern RETRY_AFTER =
            Pattern.compile("retry-after: ([0-9.]+)", Pattern.CASE_INSENSITIVE);

    /** Guards against a log that doesn't tell which VM was told that a target is leaving. */
    @Test
    public void logNamesLeavingTargets() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_LEAVING));
            assertEquals(CallerStandIn.status(fixture.get("/r/leaving")), 200);
            GatewayFixture.await(() -> log(fixture).contains("\"leaving\":true"));
            GatewayFixture.await(() -> log(fixture).contains("target_leaving_stated"));
        }
    }

    /** Guards against a log that doesn't tell for how long a target wanted no requests. */
    @Test
    public void logNamesRequestedRests() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(target -> target.setBehaviour(seen -> Behaviour.SHED_RESTING));
            assertEquals(CallerStandIn.status(fixture.get("/r/resting")), 503);
            GatewayFixture.await(() -> log(fixture).contains("\"rest_ms\":3000"));
            GatewayFixture.await(() -> log(fixture).contains("target_rest_stated"));
        }
    }

    /** Guards against a malformed statement that fails a request which its target has answered. */
    @Test
    public void responseWithMalformedStatementIsDelivered() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_MALFORMED_LEAVING));
            assertEquals(CallerStandIn.status(fixture.get("/r/malformed")), 200);
            GatewayFixture.await(() -> log(fixture).contains("\"malformed\":[\"soon\"]"));
            assertTrue(!log(fixture).contains("target_leaving_stated"), log(fixture));
        }
    }

    /** Guards against requests for a target that has said in a response that it is leaving. */
    @Test
    public void leavingTargetGetsNoFurtherRequests() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            Supplier<List<ReceivedRequest>> received =
                    firstTargetResponds(fixture, Behaviour.RESPOND_LEAVING, Behaviour.RESPOND);
            for (int number = 0; number < REQUESTS; number++) {
                assertEquals(CallerStandIn.status(fixture.post("/l/" + number, "")), 200);
            }
            assertEquals(received.get().size(), 1);
        }
    }

    /** Guards against a leaving target that is the last resort because the others fail. */
    @Test
    public void leavingTargetGetsNoFurtherRequestsEvenIfOthersFail() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            Supplier<List<ReceivedRequest>> received =
                    firstTargetResponds(fixture, Behaviour.RESPOND_LEAVING, Behaviour.FAIL);
            for (int number = 0; number < REQUESTS; number++) {
                fixture.post("/l/" + number, "");
            }
            assertEquals(received.get().size(), 1);
        }
    }

    /** Guards against requests that are sent or kept waiting while all targets are leaving. */
    @Test
    public void requestIsRejectedAtOnceIfAllTargetsLeave() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> Behaviour.RESPOND_LEAVING));
            List<String> responses = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                responses.add(fixture.post("/l/" + number, ""));
            }
            responses.removeIf(response -> CallerStandIn.status(response) == 200);
            assertEquals(responses.size(), REQUESTS - fixture.mTargets.size());
            responses.forEach(GatewayTargetAvailabilityTest::assertRefused);
        }
    }

    /** Guards against requests for a target that has asked this VM for a rest. */
    @Test
    public void restingTargetGetsNoRequests() {
        ManualClock clock = new ManualClock(Instant.EPOCH);
        try (GatewayFixture fixture = new GatewayFixture(clock)) {
            earnRetries(fixture);
            Supplier<List<ReceivedRequest>> received =
                    firstTargetResponds(fixture, Behaviour.SHED_RESTING, Behaviour.RESPOND);
            assertEquals(CallerStandIn.status(fixture.get("/r/first")), 200);
            clock.advance(REST.dividedBy(2));
            // A jump of the clock looks like an overload, during which nothing is served.
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/r/idle")) == 200);
            for (int number = 0; number < REQUESTS; number++) {
                assertEquals(CallerStandIn.status(fixture.get("/r/" + number)), 200);
            }
            assertEquals(received.get().size(), 1);
        }
    }

    /** Guards against requests that are sent or kept waiting while all targets rest. */
    @Test
    public void requestIsRejectedAtOnceWhileAllTargetsRest() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            earnRetries(fixture);
            List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
            for (SigningTargetStandIn target : fixture.mTargets) {
                target.setBehaviour(
                        seen -> {
                            received.add(seen);
                            return Behaviour.SHED_RESTING;
                        });
            }
            assertRefused(fixture.get("/r/first"));
            for (int number = 0; number < REQUESTS; number++) {
                String response = fixture.get("/r/" + number);
                assertRefused(response);
                assertTrue(retryAfter(response).compareTo(REST) >= 0, response);
            }
            assertEquals(received.size(), fixture.mTargets.size());
        }
    }

    /** Guards against VMs that each have to receive a response to learn that its target leaves. */
    @Test
    public void otherVmsHearThatATargetIsLeaving() {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.behave(seen -> Behaviour.RESPOND_LEAVING);
            assertEquals(CallerStandIn.status(fixture.get(0, "/r/leaving")), 200);
            SigningTargetStandIn leaving =
                    fixture.mTargets.stream()
                            .filter(target -> hasReceived(target, "/r/leaving"))
                            .findAny()
                            .orElseThrow();
            fixture.behave(seen -> Behaviour.RESPOND);
            GatewayFixture.await(() -> fixture.log(1).contains("\"seen_by\":\"vm-0\""));
            int before = leaving.receivedRequests().size();
            for (int number = 0; number < REQUESTS; number++) {
                assertEquals(CallerStandIn.status(fixture.post(1, "/l/" + number)), 200);
            }
            assertEquals(leaving.receivedRequests().size(), before);
        }
    }

    /** Guards against a VM that doesn't know what it has passed on to a caller for another VM. */
    @Test
    public void targetOfARelayedResponseIsKnownToLeave() {
        try (PartitionFixture fixture = new PartitionFixture(2)) {
            fixture.partition(0, Partition.RESET);
            assertEquals(CallerStandIn.status(fixture.get(0, "/r/first")), 200);
            fixture.behave(seen -> Behaviour.RESPOND_LEAVING);
            String response = fixture.get(0, "/r/leaving");
            assertEquals(CallerStandIn.status(response), 200);
            assertTrue(!response.contains(RelayHeader.NAME), response);
            String line = "\"id\":\"" + PartitionFixture.id("/r/leaving") + "\"";
            GatewayFixture.await(() -> fixture.log(0).contains(line));
            String before = fixture.log(0).substring(0, fixture.log(0).indexOf(line));
            assertTrue(before.contains("target_leaving_stated"), fixture.log(0));
        }
    }

    /** Guards against a statement that is lost because nobody waits for its response any more. */
    @Test
    public void responseToACallerThatHasLeftIsRead() throws IOException {
        CountDownLatch hasLeft = new CountDownLatch(1);
        try (PartitionFixture fixture = new PartitionFixture(1)) {
            fixture.behave(
                    seen -> {
                        awaitUninterruptibly(hasLeft);
                        return Behaviour.RESPOND_LEAVING;
                    });
            Socket caller = fixture.open(0, "POST", "/l/left");
            GatewayFixture.await(() -> fixture.received("/l/left").size() == 1);
            caller.close();
            GatewayFixture.await(() -> fixture.log(0).contains("the caller left"));
            hasLeft.countDown();
            GatewayFixture.await(() -> fixture.log(0).contains("target_leaving_stated"));
        }
    }

    private static void awaitUninterruptibly(CountDownLatch moment) {
        try {
            moment.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean hasReceived(SigningTargetStandIn target, String path) {
        return target.receivedRequests().stream()
                .anyMatch(request -> request.requestLine().contains(" " + path + " "));
    }

    /** Guards against a request that is suspected because its target exited after it had left. */
    @Test
    public void endOfALeavingTargetSuspectsNoRequest() {
        CountDownLatch hasLeft = new CountDownLatch(1);
        try (GatewayFixture fixture = new GatewayFixture()) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(seen -> crashAfter(hasLeft, seen)));
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> fixture.post("/l/crash", ""));
            GatewayFixture.await(() -> fixture.seen("/l/crash") == 1);
            for (int number = 0; number < fixture.mTargets.size(); number++) {
                assertEquals(CallerStandIn.status(fixture.get("/r/leaving-" + number)), 200);
            }
            hasLeft.countDown();
            assertEquals(CallerStandIn.status(response.join()), 502);
            GatewayFixture.await(() -> log(fixture).contains("connection_broken"));
            assertTrue(log(fixture).contains("\"leaving\":true,\"digest\""), log(fixture));
            assertTrue(!log(fixture).contains("request_treatment"), log(fixture));
        }
    }

    private static Behaviour crashAfter(CountDownLatch moment, ReceivedRequest seen) {
        if (!seen.requestLine().contains("/crash")) {
            return Behaviour.RESPOND_LEAVING;
        }
        awaitUninterruptibly(moment);
        return Behaviour.CRASH;
    }

    /**
     * Makes the target that gets the next request behave differently from the others.
     *
     * @return supplies the requests that the target has received since
     */
    private static Supplier<List<ReceivedRequest>> firstTargetResponds(
            GatewayFixture fixture, Behaviour behaviour, Behaviour others) {
        AtomicReference<SigningTargetStandIn> first = new AtomicReference<>();
        List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
        for (SigningTargetStandIn target : fixture.mTargets) {
            target.setBehaviour(
                    seen -> {
                        first.compareAndSet(null, target);
                        if (first.get() != target) {
                            return others;
                        }
                        received.add(seen);
                        return behaviour;
                    });
        }
        return () -> received;
    }

    /** Serves requests, since retries are a share of them. */
    private static void earnRetries(GatewayFixture fixture) {
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(CallerStandIn.status(fixture.get("/r/earn-" + number)), 200);
        }
    }

    private static void assertRefused(String response) {
        assertEquals(CallerStandIn.status(response), 503, response);
        assertTrue(!retryAfter(response).isZero(), response);
    }

    private static Duration retryAfter(String response) {
        Matcher header = RETRY_AFTER.matcher(response);
        assertTrue(header.find(), response);
        return Duration.ofMillis(Math.round(Double.parseDouble(header.group(1)) * 1_000));
    }

    private static String log(GatewayFixture fixture) {
        return fixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
