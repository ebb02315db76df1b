package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the whole path of a gateway VM: callers, VM, targets, store. */
public final class GatewayRequestTest {
    private GatewayFixture mPath;

    @BeforeClass
    public void start() {
        mPath = new GatewayFixture();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mPath.close();
    }

    @BeforeMethod
    public void heal() {
        behave(Behaviour.ANSWER);
    }

    @Test
    public void answerIsPassedOnWithItsSignature() {
        String answer = mPath.get("/r/1");
        assertEquals(CallerStandIn.status(answer), 200);
        assertTrue(
                answer.toLowerCase(Locale.ROOT).contains(TargetHeaders.SIGNATURE + ": 3e1b"),
                answer);
        assertTrue(answer.endsWith("answer to read-" + "/r/1".hashCode()), answer);
    }

    @Test
    public void targetIsToldTheTimeLeftAndWhoIsMeant() {
        mPath.get("/r/2");
        var seen =
                mPath.mTargets.stream()
                        .flatMap(target -> target.seen().stream())
                        .filter(request -> request.line().contains("/r/2 "))
                        .findFirst()
                        .orElseThrow();
        assertTrue(Integer.parseInt(header(seen, TargetHeaders.REMAINING_MILLIS)) <= 1_500);
        assertTrue(header(seen, TargetHeaders.EXPECTED_INSTANCE).startsWith("i-"));
        assertEquals(seen.headers().get("host"), "a.example");
    }

    @Test
    public void pathThatMatchesNoRouteIsNotFound() {
        assertEquals(CallerStandIn.status(mPath.get("/other/")), 404);
    }

    /** A target must see the path as the caller sent it, or another thing is read or locked. */
    @Test
    public void oddPathsReachTheTargetUnchanged() {
        for (String path :
                new String[] {
                    "/r//double", "/r/a%2Fb", "/r/x?q=a+b&c=%20;d", "/r/%7Etilde", "/r/a;b"
                }) {
            assertEquals(CallerStandIn.status(mPath.get(path)), 200, path);
            assertEquals(mPath.seen(path), 1, path);
        }
    }

    /**
     * A selection would be signed off twice. The target takes the lock, and its connection breaks
     * before the answer: the lock may have run, so it must not be sent to the other target, and the
     * caller must not be told that it did not run.
     */
    @Test
    public void lockWhoseConnectionBreaksIsNotSentAgain() {
        behave(Behaviour.CLOSE);
        assertEquals(CallerStandIn.status(mPath.post("/l/broken", "body")), 502);
        assertEquals(mPath.seen("/l/broken"), 1);
    }

    /** The target takes the lock and hangs; the caller gets its final answer at the timeout. */
    @Test
    public void lockThatHangsEndsAtTheRoutesTimeout() {
        behave(Behaviour.HANG);
        assertEquals(CallerStandIn.status(mPath.post("/l/hung", "body")), 504);
        assertEquals(mPath.seen("/l/hung"), 1);
    }

    /** A target that states that it didn't run a lock proves that it may be sent elsewhere. */
    @Test
    public void lockThatWasRefusedUnrunIsSentElsewhere() {
        AtomicInteger first = new AtomicInteger();
        mPath.mTargets.forEach(
                target ->
                        target.behave(
                                seen ->
                                        first.getAndIncrement() == 0
                                                ? Behaviour.SHED
                                                : Behaviour.ANSWER));
        assertEquals(CallerStandIn.status(mPath.post("/l/shed", "body")), 200);
        assertEquals(mPath.seen("/l/shed"), 2);
    }

    /** Nobody ran it, and the caller is told so and when to come back. */
    @Test
    public void lockThatAllRefusedIsRefusedTruthfully() {
        behave(Behaviour.SHED);
        String answer = mPath.post("/l/refused", "body");
        assertEquals(CallerStandIn.status(answer), 503);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
    }

    @Test
    public void readIsSentAgainAfterABrokenConnection() {
        breakFirst(Behaviour.CLOSE);
        assertEquals(CallerStandIn.status(mPath.get("/r/broken")), 200);
    }

    /** A listing that ends early must not look complete; here it can be asked for again. */
    @Test
    public void readIsSentAgainAfterACutBody() {
        breakFirst(Behaviour.CUT_SHORT);
        String answer = mPath.get("/r/cut");
        assertEquals(CallerStandIn.status(answer), 200);
        assertTrue(answer.endsWith("answer to read-" + "/r/cut".hashCode()), answer);
    }

    @Test
    public void cutAnswerToALockIsNoSuccess() {
        behave(Behaviour.CUT_SHORT);
        assertEquals(CallerStandIn.status(mPath.post("/l/cut", "body")), 502);
        assertEquals(mPath.seen("/l/cut"), 1);
    }

    @Test
    public void answerWithoutALengthEndsWithItsConnection() {
        behave(Behaviour.UNFRAMED);
        String answer = mPath.get("/r/unframed");
        assertEquals(CallerStandIn.status(answer), 200);
        assertTrue(answer.contains("answer to read-" + "/r/unframed".hashCode()), answer);
    }

    /**
     * An extract would look whole and lack its end. A target answers without a length, and crashes
     * in the middle: its connection is reset, which an HTTP client may take for the body's end.
     */
    @Test
    public void unframedAnswerThatIsResetIsNoSuccess() {
        behave(Behaviour.UNFRAMED_RESET);
        assertEquals(CallerStandIn.status(mPath.post("/l/reset", "body")), 502);
    }

    /**
     * A caller would get somebody else's listing. A target answers twice on a kept connection, and
     * the second answer lies where the next request's answer is due.
     */
    @Test
    public void secondAnswerReachesNobody() {
        behave(Behaviour.ANSWER_TWICE);
        for (int number = 0; number < 50; number++) {
            String path = "/r/twice" + number;
            String answer = mPath.get(path);
            assertEquals(CallerStandIn.status(answer), 200);
            assertTrue(answer.endsWith("answer to read-" + path.hashCode()), answer);
        }
    }

    @Test
    public void targetsOwnFailureOfALockIsPassedOnOnce() {
        behave(Behaviour.FAIL);
        assertEquals(CallerStandIn.status(mPath.post("/l/failed", "body")), 500);
        assertEquals(mPath.seen("/l/failed"), 1);
    }

    @Test
    public void bodyOverTheLimitIsRefused() {
        String answer = mPath.post("/l/large", "x".repeat(1_001));
        assertEquals(CallerStandIn.status(answer), 413);
        assertEquals(mPath.seen("/l/large"), 0);
    }

    @Test
    public void headOverTheLimitIsRefused() {
        String request =
                "GET /r/head HTTP/1.1\r\nHost: a.example\r\n"
                        + TargetHeaders.ATTEMPT_ID
                        + ": head\r\nX-Filler: "
                        + "x".repeat(16_384)
                        + "\r\n\r\n";
        assertEquals(CallerStandIn.status(mPath.caller().raw(request)), 431);
        assertEquals(mPath.seen("/r/head"), 0);
    }

    /**
     * A lock that its caller never sent would run. A request tells both a length and chunks; who
     * reads it by the one takes a part of the body for a request of its own. It is refused, and
     * nothing behind it on the connection is read.
     */
    @Test
    public void requestWithTwoFramingsIsRefusedAndItsConnectionClosed() {
        String lines =
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
        String answer = mPath.caller().raw(lines.replace("\n", "\r\n"));
        assertEquals(CallerStandIn.status(answer), 400);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        assertEquals(CallerStandIn.status(mPath.get("/r/next")), 200);
        assertEquals(mPath.seen("/l/smuggled"), 0);
        assertEquals(mPath.seen("/r/inner"), 0);
    }

    @Test
    public void requestWithoutAnIdIsRefused() {
        String request = "GET /r/noid HTTP/1.1\r\nHost: a.example\r\n\r\n";
        String answer = mPath.caller().raw(request);
        assertEquals(CallerStandIn.status(answer), 400);
    }

    private static String header(SealingTargetStandIn.Seen seen, CharSequence name) {
        return seen.headers().get(name.toString());
    }

    private void behave(Behaviour behaviour) {
        mPath.mTargets.forEach(target -> target.behave(seen -> behaviour));
    }

    private void breakFirst(Behaviour behaviour) {
        AtomicInteger first = new AtomicInteger();
        mPath.mTargets.forEach(
                target ->
                        target.behave(
                                seen ->
                                        first.getAndIncrement() == 0
                                                ? behaviour
                                                : Behaviour.ANSWER));
    }
}
