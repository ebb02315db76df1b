package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** End-to-end tests of requests through a gateway VM with callers, targets and a store. */
public final class GatewayRequestTest {
    private GatewayFixture mFixture;

    @BeforeClass
    public void start() {
        mFixture = new GatewayFixture();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @BeforeMethod
    public void resetBehaviour() {
        behave(Behaviour.RESPOND);
    }

    @Test
    public void responseIsForwardedWithItsSignature() {
        String response = mFixture.get("/r/1");
        assertEquals(CallerStandIn.status(response), 200);
        assertTrue(
                response.toLowerCase(Locale.ROOT).contains(TargetHeaders.SIGNATURE + ": 3e1b"),
                response);
        assertTrue(response.endsWith("answer to read-" + "/r/1".hashCode()), response);
    }

    @Test
    public void remainingTimeAndExpectedInstanceAreSent() {
        mFixture.get("/r/2");
        var seen =
                mFixture.mTargets.stream()
                        .flatMap(target -> target.receivedRequests().stream())
                        .filter(request -> request.requestLine().contains("/r/2 "))
                        .findFirst()
                        .orElseThrow();
        assertTrue(Integer.parseInt(header(seen, TargetHeaders.REMAINING_MILLIS)) <= 1_500);
        assertTrue(header(seen, TargetHeaders.EXPECTED_INSTANCE).startsWith("i-"));
        assertEquals(seen.headers().get("host"), "a.example");
    }

    @Test
    public void pathWithoutRouteIsNotFound() {
        assertEquals(CallerStandIn.status(mFixture.get("/other/")), 404);
    }

    /** The path must be forwarded byte by byte; a normalized path may name another resource. */
    @Test
    public void unusualPathsAreForwardedUnchanged() {
        for (String path :
                new String[] {
                    "/r//double", "/r/a%2Fb", "/r/x?q=a+b&c=%20;d", "/r/%7Etilde", "/r/a;b"
                }) {
            assertEquals(CallerStandIn.status(mFixture.get(path)), 200, path);
            assertEquals(mFixture.seen(path), 1, path);
        }
    }

    /**
     * Guards against a lock that is executed twice: after its connection broke it may have run, so
     * it must not be retried or reported as not executed.
     */
    @Test
    public void lockIsNotRetriedAfterBrokenConnection() {
        behave(Behaviour.CLOSE);
        assertEquals(CallerStandIn.status(mFixture.post("/l/broken", "body")), 502);
        assertEquals(mFixture.seen("/l/broken"), 1);
    }

    /** A hung lock is answered at the timeout of the route. */
    @Test
    public void hungLockEndsAtTimeoutOfRoute() {
        behave(Behaviour.HANG);
        assertEquals(CallerStandIn.status(mFixture.post("/l/hung", "body")), 504);
        assertEquals(mFixture.seen("/l/hung"), 1);
    }

    /** A target that did not execute a lock says so, and the lock may be retried at another one. */
    @Test
    public void lockThatWasNotExecutedIsRetried() {
        AtomicInteger first = new AtomicInteger();
        mFixture.mTargets.forEach(
                target ->
                        target.setBehaviour(
                                seen ->
                                        first.getAndIncrement() == 0
                                                ? Behaviour.SHED
                                                : Behaviour.RESPOND));
        assertEquals(CallerStandIn.status(mFixture.post("/l/shed", "body")), 200);
        assertEquals(mFixture.seen("/l/shed"), 2);
    }

    /** The caller is told that the lock was not executed and when to retry. */
    @Test
    public void lockRefusedByAllTargetsIsRefusedWithRetryAfter() {
        behave(Behaviour.SHED);
        String response = mFixture.post("/l/refused", "body");
        assertEquals(CallerStandIn.status(response), 503);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
    }

    @Test
    public void readIsRetriedAfterBrokenConnection() {
        breakFirst(Behaviour.CLOSE);
        assertEquals(CallerStandIn.status(mFixture.get("/r/broken")), 200);
    }

    /** A truncated response must not appear complete; a read can be retried. */
    @Test
    public void readIsRetriedAfterTruncatedBody() {
        breakFirst(Behaviour.TRUNCATE_BODY);
        String response = mFixture.get("/r/cut");
        assertEquals(CallerStandIn.status(response), 200);
        assertTrue(response.endsWith("answer to read-" + "/r/cut".hashCode()), response);
    }

    @Test
    public void truncatedResponseToLockIsBadGateway() {
        behave(Behaviour.TRUNCATE_BODY);
        assertEquals(CallerStandIn.status(mFixture.post("/l/cut", "body")), 502);
        assertEquals(mFixture.seen("/l/cut"), 1);
    }

    @Test
    public void responseWithoutLengthEndsWithConnection() {
        behave(Behaviour.CLOSE_DELIMITED);
        String response = mFixture.get("/r/unframed");
        assertEquals(CallerStandIn.status(response), 200);
        assertTrue(response.contains("answer to read-" + "/r/unframed".hashCode()), response);
    }

    /**
     * Guards against a truncated response that appears complete: without a length, a connection
     * reset may be read as the end of the body.
     */
    @Test
    public void resetResponseWithoutLengthIsBadGateway() {
        behave(Behaviour.CLOSE_DELIMITED_RESET);
        assertEquals(CallerStandIn.status(mFixture.post("/l/reset", "body")), 502);
    }

    /**
     * Guards against a response that reaches the wrong caller: the target sends each response twice
     * on a kept-alive connection.
     */
    @Test
    public void duplicateResponseIsDiscarded() {
        behave(Behaviour.RESPOND_TWICE);
        for (int number = 0; number < 50; number++) {
            String path = "/r/twice" + number;
            String response = mFixture.get(path);
            assertEquals(CallerStandIn.status(response), 200);
            assertTrue(response.endsWith("answer to read-" + path.hashCode()), response);
        }
    }

    @Test
    public void serverErrorOfLockIsForwardedWithoutRetry() {
        behave(Behaviour.FAIL);
        assertEquals(CallerStandIn.status(mFixture.post("/l/failed", "body")), 500);
        assertEquals(mFixture.seen("/l/failed"), 1);
    }

    @Test
    public void bodyOverTheLimitIsRejected() {
        String response = mFixture.post("/l/large", "x".repeat(1_001));
        assertEquals(CallerStandIn.status(response), 413);
        assertEquals(mFixture.seen("/l/large"), 0);
    }

    @Test
    public void headOverTheLimitIsRejected() {
        String request =
                "GET /r/head HTTP/1.1\r\nHost: a.example\r\n"
                        + TargetHeaders.ATTEMPT_ID
                        + ": head\r\nX-Filler: "
                        + "x".repeat(16_384)
                        + "\r\n\r\n";
        assertEquals(CallerStandIn.status(mFixture.caller().sendRaw(request)), 431);
        assertEquals(mFixture.seen("/r/head"), 0);
    }

    /**
     * Guards against request smuggling by a request with both a length and chunked encoding: it is
     * rejected, and no further request of the connection is read.
     */
    @Test
    public void requestWithLengthAndChunkedEncodingIsRejected() {
        String request =
                String.format(
                        """
                        POST /l/smuggled HTTP/1.1
                        Host: a.example
                        %s: s
                        Content-Length: 4
                        Transfer-Encoding: chunked

                        0

                        GET /r/inner HTTP/1.1
                        Host: a.example
                        %s: inner

                        """,
                        TargetHeaders.ATTEMPT_ID, TargetHeaders.ATTEMPT_ID);
        String response = mFixture.caller().sendRaw(request.replace("\n", "\r\n"));
        assertEquals(CallerStandIn.status(response), 400);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
        assertEquals(CallerStandIn.status(mFixture.get("/r/next")), 200);
        assertEquals(mFixture.seen("/l/smuggled"), 0);
        assertEquals(mFixture.seen("/r/inner"), 0);
    }

    @Test
    public void requestWithoutAttemptIdIsRejected() {
        String request = "GET /r/noid HTTP/1.1\r\nHost: a.example\r\n\r\n";
        String response = mFixture.caller().sendRaw(request);
        assertEquals(CallerStandIn.status(response), 400);
    }

    private static String header(SigningTargetStandIn.ReceivedRequest seen, CharSequence name) {
        return seen.headers().get(name.toString());
    }

    private void behave(Behaviour behaviour) {
        mFixture.mTargets.forEach(target -> target.setBehaviour(seen -> behaviour));
    }

    private void breakFirst(Behaviour behaviour) {
        AtomicInteger first = new AtomicInteger();
        mFixture.mTargets.forEach(
                target ->
                        target.setBehaviour(
                                seen ->
                                        first.getAndIncrement() == 0
                                                ? behaviour
                                                : Behaviour.RESPOND));
    }
}
