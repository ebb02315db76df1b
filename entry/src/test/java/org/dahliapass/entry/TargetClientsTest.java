package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.InvalidResponse;
import org.dahliapass.standins.RawServerStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which bytes of a target {@link TargetClients} receives as a response. */
public final class TargetClientsTest {
    private static final Duration TIMEOUT = Duration.ofMinutes(1);
    private static final long MAX_WAIT_SECONDS = 30;

    /** More than the kernel buffers of both sides hold. */
    private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

    private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\npart";

    private RawServerStandIn mTarget;
    private TargetClients mClients;

    @BeforeMethod
    public void start() throws IOException {
        mTarget = new RawServerStandIn();
        mClients = new TargetClients(new ManualClock(Instant.EPOCH));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mTarget.close();
        mClients.stop().join();
    }

    @DataProvider
    public Object[] invalidResponses() {
        return InvalidResponse.values();
    }

    /** Guards against an invalid response that a caller gets as an answer. */
    @Test(dataProvider = "invalidResponses")
    public void invalidResponseFails(InvalidResponse response) {
        mTarget.respond(response.format("hi"));
        expectThrows(ExecutionException.class, () -> join(send(0).aggregate()));
    }

    @DataProvider
    public Object[][] validResponses() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
            {"HTTP/1.1 103 A\r\nB: c\r\n\r\n" + WITHOUT_LENGTH},
            {WITHOUT_LENGTH},
        };
    }

    /** A response that the protocol allows is received whole. */
    @Test(dataProvider = "validResponses")
    public void validResponseIsReceived(String response) throws Exception {
        mTarget.respond(response);
        AggregatedHttpResponse received = join(send(0).aggregate());
        assertEquals(received.status().code(), 200);
        assertEquals(received.contentAscii(), "part");
    }

    /** Guards against bytes behind a response that are attributed to the next request. */
    @Test
    public void bytesBehindAResponseAreDropped() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
        mTarget.respond(response + response.replace("part", "next"));
        assertEquals(join(send(0).aggregate()).contentAscii(), "part");
        assertEquals(join(send(0).aggregate()).contentAscii(), "part");
    }

    @DataProvider
    public Object[][] requestSizes() {
        return new Object[][] {{0}, {UPLOAD_BYTES}};
    }

    /** Guards against a part of a body that looks complete after a reset. */
    @Test(dataProvider = "requestSizes")
    public void responseThatIsResetFails(int requestBytes) {
        CompletableFuture<Void> received = new CompletableFuture<>();
        mTarget.respondAndReset(WITHOUT_LENGTH, received);
        SplitHttpResponse response = send(requestBytes).split();
        CompletableFuture<Void> head = response.headers().thenRun(() -> received.complete(null));
        expectThrows(ExecutionException.class, () -> join(response.body().collect()));
        assertTrue(head.isDone());
    }

    private HttpResponse send(int requestBytes) {
        HttpRequest request =
                HttpRequest.of(
                        RequestHeaders.of(HttpMethod.POST, "/"),
                        HttpData.wrap(new byte[requestBytes]));
        return mClients.send(mTarget.address(), request, TIMEOUT).response();
    }

    private static <T> T join(CompletableFuture<T> future) throws Exception {
        return future.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
