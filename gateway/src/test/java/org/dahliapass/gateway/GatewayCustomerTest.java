package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.standins.SigningTargetStandIn.ReceivedRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** End-to-end tests of customers' keys through a gateway VM. */
public final class GatewayCustomerTest {
    private static final String KEY = "k3y-of-c";
    private static final String CUSTOMERS = "[[\"c\",[\"" + KEY + "\",\"new\"],1,0,0]]";

    private static final String LOCK_TIMEOUT = "\"unsafe\",1.2,";

    /** Longer than a busy machine takes to put a configuration in force. */
    private static final String LONG_LOCK_TIMEOUT = "\"unsafe\",15,";

    private GatewayFixture mFixture;

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
        configure(2, CUSTOMERS);
        GatewayFixture.await(() -> status("Authorization: Bearer unknown", "/r/probe") == 401);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    /** A target that is told another customer, or the key itself, acts for the wrong caller. */
    @Test
    public void targetIsToldTheCustomerAndNotTheKey() {
        String headers =
                "Authorization: Bearer "
                        + KEY
                        + "\r\nx-DAHLIAPASS-tenant: other\r\nX_Dahliapass_Tenant: other"
                        + "\r\nConnection: X-Dahliapass-Tenant, close";
        assertEquals(status(headers, "/r/told"), 200);
        ReceivedRequest received = received("/r/told").get(0);
        assertEquals(received.headers().get(TargetHeaders.CUSTOMER.toString()), "c");
        assertFalse(received.toString().contains(KEY), received.toString());
        assertFalse(received.toString().contains("other"), received.toString());
    }

    @Test
    public void requestWithoutKnownKeyIsRejectedBeforeItsBodyIsRead() {
        String response =
                mFixture.caller()
                        .sendRaw(
                                "POST /l/none HTTP/1.1\r\nHost: a.example\r\n"
                                        + TargetHeaders.ATTEMPT_ID
                                        + ": x\r\nContent-Length: 900\r\n\r\n");
        assertEquals(CallerStandIn.status(response), 401);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("www-authenticate: bearer"));
        assertEquals(mFixture.seen("/l/none"), 0);
    }

    @Test
    public void twoKeysAreRejected() {
        String twice = "Authorization: Bearer " + KEY + "\r\nAuthorization: Bearer " + KEY;
        assertEquals(status(twice, "/r/twice"), 401);
    }

    /** A key that is removed while a request waits must not be used for a later attempt. */
    @Test
    public void requestIsAuthenticatedAgainBeforeItIsSentAgain() {
        mFixture.mTargets.forEach(
                target ->
                        target.setBehaviour(
                                seen -> {
                                    if (!seen.requestLine().contains("/l/waits")) {
                                        // A refusal would use up the retry budget.
                                        return Behaviour.RESPOND;
                                    }
                                    removeKey();
                                    return Behaviour.SHED;
                                }));
        // An at-most-once request isn't hedged while its first target waits for the removal.
        String response = send("POST", "Authorization: Bearer " + KEY, "/l/waits");
        assertEquals(CallerStandIn.status(response), 401);
        assertEquals(mFixture.seen("/l/waits"), 1);
    }

    private void removeKey() {
        configure(3, "[[\"c\",[\"new\"],1,0,0]]");
        GatewayFixture.await(() -> status("Authorization: Bearer " + KEY, "/r/probe") == 401);
    }

    @Test
    public void addedKeyIsAccepted() {
        configure(3, "[[\"c\",[\"added\"],1,0,0]]");
        GatewayFixture.await(() -> status("Authorization: Bearer added", "/r/added") == 200);
        assertEquals(status("Authorization: Bearer " + KEY, "/r/removed"), 401);
    }

    /** A refusal by a rate limit must be final, immediate and limited to its customer. */
    @Test
    public void requestBeyondTheRateLimitIsRefusedWithRetryAfter() {
        configure(3, "[[\"c\",[\"" + KEY + "\"],1,0.001,1],[\"d\",[\"other\"],1,null,null]]");
        GatewayFixture.await(() -> status("Authorization: Bearer other", "/r/other") == 200);
        assertEquals(status("Authorization: Bearer " + KEY, "/r/first"), 200);
        String response = send("Authorization: Bearer " + KEY, "/r/limited");
        assertEquals(CallerStandIn.status(response), 429);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
        assertEquals(mFixture.seen("/r/limited"), 0);
    }

    /** A key in a log line or a metric lets its readers act for the customer. */
    @Test
    public void logsAndMetricsHoldNoKey() {
        String unknown = "unknown-k3y";
        assertEquals(status("Authorization: Bearer " + KEY, "/r/logged"), 200);
        assertEquals(status("Authorization: Bearer " + unknown, "/r/logged"), 401);
        mFixture.mTargets.forEach(target -> target.setBehaviour(seen -> Behaviour.CLOSE));
        assertEquals(status("Authorization: Bearer " + KEY, "/r/broken"), 502);
        GatewayFixture.await(() -> log().contains("request_unauthenticated"));
        GatewayFixture.await(() -> log().contains("connection_broken"));
        String metrics = CallerStandIn.get(mFixture.mSettings.control(), "/metrics");
        assertEquals(CallerStandIn.status(metrics), 200);
        for (String key : List.of(KEY, unknown)) {
            assertFalse(log().contains(key), log());
            assertFalse(metrics.contains(key), metrics);
        }
    }

    private String log() {
        return mFixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }

    private void configure(long version, String customers) {
        String configuration = GatewayFixtures.configurationWithCustomers(version, customers);
        mFixture.mStore.put("op/config", configuration.replace(LOCK_TIMEOUT, LONG_LOCK_TIMEOUT));
    }

    private int status(String headers, String path) {
        return CallerStandIn.status(send(headers, path));
    }

    private String send(String headers, String path) {
        return send("GET", headers, path);
    }

    private String send(String method, String headers, String path) {
        return mFixture.caller()
                .sendRaw(
                        method
                                + " "
                                + path
                                + " HTTP/1.1\r\nHost: a.example\r\n"
                                + TargetHeaders.ATTEMPT_ID
                                + ": x\r\n"
                                + headers
                                + "\r\n\r\n");
    }

    private List<ReceivedRequest> received(String path) {
        return mFixture.mTargets.stream()
                .flatMap(target -> target.receivedRequests().stream())
                .filter(request -> request.requestLine().contains(" " + path + " "))
                .toList();
    }
}
