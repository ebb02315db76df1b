package org.dahliapass.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;
import org.dahliapass.model.burn.Outcome;
import org.dahliapass.model.burn.OutcomeHistory;
import org.dahliapass.standins.InvalidResponse;
import org.dahliapass.standins.RawServerStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ReportMain} against an HTTP server on loopback. */
public final class ReportMainTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
    private volatile String mMembers;
    private volatile HttpStatus mBurnStatus;
    private Server mServer;
    private String mAddress;

    @BeforeClass
    public void startServer() {
        mServer =
                Server.builder()
                        .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .service(
                                "/operations/members",
                                (context, request) -> HttpResponse.of(MediaType.JSON, mMembers))
                        .service(
                                "/operations/burn",
                                (context, request) ->
                                        HttpResponse.of(
                                                mBurnStatus, MediaType.JSON, snapshotJson()))
                        .build();
        mServer.start().join();
        mAddress = "127.0.0.1:" + mServer.activeLocalPort();
    }

    @BeforeMethod
    public void setUp() {
        mOutput.reset();
        mErrors.reset();
        mBurnStatus = HttpStatus.OK;
        mMembers = "[" + member("a", 1, mAddress, "alive") + "]";
    }

    @AfterClass
    public void stopServer() {
        mServer.stop().join();
    }

    @Test
    public void textReportListsKindAndOutcomes() {
        assertEquals(run("--vm", mAddress), ExitCode.OK);
        assertTrue(output().contains("1 of 1 VMs responded"), output());
        assertTrue(output().contains("himal/desk/lo<ck"), output());
        assertTrue(output().contains("2/4"), output());
        assertTrue(output().contains("1 failed, 1 refused"), output());
    }

    @Test
    public void jsonReportContainsBurnRates() throws Exception {
        assertEquals(run("--vm", mAddress, "--json"), ExitCode.OK);

        JsonNode series = JSON.readTree(output()).get("series").get(0);

        assertEquals(series.get("verdict").asText(), "fast burn");
        assertEquals(series.get("windows").get(0).get("window").asText(), "1m");
        assertEquals(series.get("windows").get(0).get("burnRate").asDouble(), 50, 1e-6);
    }

    @Test
    public void htmlReportIsSelfContainedAndEscapesNames() throws Exception {
        Path file = Files.createTempFile("burn", ".html");
        try {
            assertEquals(run("--vm", mAddress, "--html", file.toString()), ExitCode.OK);
            String page = Files.readString(file);

            assertTrue(page.contains("<svg"));
            assertTrue(page.contains("lo&lt;ck"), "request kind must be escaped");
            assertFalse(page.contains("lo<ck"), "request kind must be escaped");
            assertFalse(
                    page.matches("(?s).*(src=|href=|<script|url\\().*"),
                    "page must not load resources");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void customerOptionFiltersOtherCustomers() {
        assertEquals(run("--vm", mAddress, "--customer", "vatulele"), ExitCode.OK);
        assertTrue(output().contains("vatulele/rankings/lookup"), output());
        assertFalse(output().contains("himal"), output());
    }

    @DataProvider
    public Object[] invalidResponses() {
        return InvalidResponse.values();
    }

    /** Guards against an invalid response that is reported as that of a VM. */
    @Test(dataProvider = "invalidResponses")
    public void vmWithInvalidResponseIsListedAsUnresponsive(InvalidResponse response)
            throws IOException {
        try (RawServerStandIn server = new RawServerStandIn()) {
            server.respond(response.format("[]"));
            assertEquals(run("--vm", server.address().toString(), "--vm", mAddress), ExitCode.OK);
            String address = server.address().toString();
            assertTrue(output().contains(address + " (" + address + ") didn't respond"), output());
        }
    }

    // Unreachable VMs must not prevent the report; they are listed with the reason.
    @Test
    public void unresponsiveVmsAreListedAndOthersReported() {
        mMembers =
                "["
                        + member("a", 1, mAddress, "alive")
                        + ","
                        + member("b", 1, "127.0.0.1:1", "suspect")
                        + ","
                        + member("c", 1, "127.0.0.1:2", "dead")
                        + "]";

        assertEquals(run("--vm", "127.0.0.1:3", "--vm", mAddress), ExitCode.OK);
        assertTrue(output().contains("1 of 3 VMs responded"), output());
        assertTrue(
                output().contains("b (127.0.0.1:1) didn't respond: could not connect."), output());
        assertTrue(output().contains("127.0.0.1:3 (127.0.0.1:3) didn't respond"), output());
        assertFalse(output().contains("127.0.0.1:2"), "dead VM must not be queried: " + output());
    }

    @Test
    public void newestIncarnationOfVmIsQueried() {
        mMembers =
                "["
                        + member("a", 1, "127.0.0.1:1", "alive")
                        + ","
                        + member("a", 2, mAddress, "alive")
                        + "]";

        assertEquals(run("--vm", mAddress), ExitCode.OK);
        assertTrue(output().contains("1 of 1 VMs responded"), output());
    }

    @Test
    public void failsIfNoVmResponds() {
        mBurnStatus = HttpStatus.SERVICE_UNAVAILABLE;

        assertEquals(run("--vm", mAddress), ExitCode.FAILED);
        assertTrue(output().contains("VM responded with status 503"), output());
    }

    @Test
    public void failsIfMemberListIsNotJson() {
        mMembers = "<html>";

        assertEquals(run("--vm", mAddress), ExitCode.FAILED);
        assertTrue(output().contains("response is not the expected JSON"), output());
    }

    @Test
    public void allInvalidOptionsAreReported() {
        assertEquals(run("--timeout", "0", "--customer", "a b", "extra"), ExitCode.USAGE);
        String errors = mErrors.toString(StandardCharsets.UTF_8);
        assertEquals(errors.lines().count(), 4, errors);
        assertEquals(run("--vm", "nowhere"), ExitCode.USAGE);
    }

    private static String snapshotJson() {
        OutcomeHistory history = new OutcomeHistory(2);
        for (Outcome outcome :
                List.of(Outcome.GOOD, Outcome.GOOD, Outcome.FAILED, Outcome.REFUSED)) {
            history.record("himal", "desk", "lo<ck", 0.99, outcome, NOW);
        }
        history.record("vatulele", "rankings", "lookup", 0.99, Outcome.GOOD, NOW);
        return JSON.valueToTree(new ErrorBudgetSnapshot("a~1", 0, NOW, 0, history.buckets(NOW)))
                .toString();
    }

    private static String member(String name, int incarnation, String operators, String state) {
        return String.format(
                "{\"name\":\"%s\",\"incarnation\":\"%d\",\"availabilityZone\":\"z\","
                        + "\"callers\":\"127.0.0.1:9\",\"operators\":\"%s\",\"state\":\"%s\"}",
                name, incarnation, operators, state);
    }

    private ExitCode run(String... arguments) {
        PrintStream output = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        PrintStream errors = new PrintStream(mErrors, true, StandardCharsets.UTF_8);
        return new ReportMain(output, new ManualClock(Instant.ofEpochMilli(NOW)))
                .main(arguments, output, errors);
    }

    private String output() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }
}
