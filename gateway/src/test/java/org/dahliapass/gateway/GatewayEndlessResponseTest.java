package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers get from a target whose response has no end. */
public final class GatewayEndlessResponseTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private GatewayFixture mFixture;

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    /** Guards against a response that is forwarded for good. */
    @Test
    public void streamedResponseEndsWithTheTimeoutOfItsRoute() throws IOException {
        behave(Behaviour.RESPOND_ENDLESS);
        String response = readToEnd("GET /r/endless");
        assertEquals(CallerStandIn.status(response), 200);
        assertFalse(response.endsWith(LAST_CHUNK));
        awaitTargetClosed();
        String log = mFixture.mLogOutput.toString(StandardCharsets.UTF_8);
        assertTrue(log.contains("response_cut"), log);
        assertServed();
    }

    /** Guards against a failure that is buffered for good. */
    @Test
    public void failureWithoutEndEndsWithTheTimeoutOfItsRoute() throws IOException {
        behave(Behaviour.FAIL_ENDLESS);
        assertEquals(CallerStandIn.status(readToEnd("POST /l/endless")), 504);
        awaitTargetClosed();
        assertServed();
    }

    /** Guards against a connection that reads a rejection for good. */
    @Test
    public void rejectionWithoutEndIsClosed() throws IOException {
        behave(Behaviour.SHED_ENDLESS);
        assertEquals(CallerStandIn.status(readToEnd("POST /l/endless")), 503);
        awaitTargetClosed();
        assertServed();
    }

    private void behave(Behaviour behaviour) {
        mFixture.mTargets.forEach(target -> target.setBehaviour(request -> behaviour));
    }

    private void assertServed() {
        behave(Behaviour.RESPOND);
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/r/after")) == 200);
    }

    private void awaitTargetClosed() {
        GatewayFixture.await(
                () ->
                        mFixture.mTargets.stream()
                                        .mapToInt(SigningTargetStandIn::closedConnectionCount)
                                        .sum()
                                > 0);
    }

    /** Sends a request and returns what arrives until the connection ends. */
    private String readToEnd(String call) throws IOException {
        String request =
                call
                        + " HTTP/1.1\r\nHost: a.example\r\nX-Dahliapass-Attempt-Id: endless\r\n"
                        + "X-Dahliapass-Deadline-Ms: 20000\r\nConnection: close\r\n\r\n";
        try (Socket socket = mFixture.caller().open(request)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(response);
            return response.toString(StandardCharsets.ISO_8859_1);
        }
    }
}
