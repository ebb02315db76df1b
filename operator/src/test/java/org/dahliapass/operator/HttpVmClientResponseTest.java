package org.dahliapass.operator;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.standins.InvalidResponse;
import org.dahliapass.standins.RawServerStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link HttpVmClient} receives only what the protocol allows as a response. */
public final class HttpVmClientResponseTest {
    private static final Duration TIMEOUT = Duration.ofMinutes(1);
    private static final long MAX_WAIT_SECONDS = 30;
    private static final String BODY = "{}";

    private RawServerStandIn mServer;

    @BeforeMethod
    public void start() throws IOException {
        mServer = new RawServerStandIn();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
    }

    @DataProvider
    public Object[] invalidResponses() {
        return InvalidResponse.values();
    }

    /** Guards against an invalid response that is received as an answer. */
    @Test(dataProvider = "invalidResponses")
    public void invalidResponseFails(InvalidResponse response) {
        mServer.respond(response.format(BODY));
        expectThrows(ExecutionException.class, () -> join(call()));
    }

    @Test
    public void validResponseIsReceived() throws Exception {
        mServer.respond("HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        assertNotNull(join(call()));
    }

    private CompletableFuture<?> call() {
        return new HttpVmClient(TIMEOUT).status(mServer.address());
    }

    private static <T> T join(CompletableFuture<T> future) throws Exception {
        return future.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
