package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Optional;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.traffic.EntryMetrics;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of large responses on a VM whose account of memory is small. */
public final class SmallMemoryLimitTest {
    private static final int MEGABYTE = 1024 * 1024;
    private static final int LIMIT_BYTES = 8 * MEGABYTE;
    private static final int CHUNK_BYTES = 64 * 1024;

    /** Leaves the smallest limit, 8 MB. */
    private static final String MEMORY = "memory-megabytes = 64";

    private final ManualClock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    private final MemoryAccount mAccount = new MemoryAccount(LIMIT_BYTES);
    private final RequestMemory mMemory =
            new RequestMemory(
                    mAccount,
                    mClock,
                    new EntryMetrics(),
                    new EventLog(mClock, "vm", new PrintStream(OutputStream.nullOutputStream())));

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {200, MEGABYTE, true},
            {200, MEGABYTE + MEGABYTE / 2, false},
            {200, 2 * MEGABYTE, true},
            {200, 2 * MEGABYTE, false},
            {500, MEGABYTE + MEGABYTE / 2, true},
            {500, 2 * MEGABYTE, false},
        };
    }

    /** A response that a VM with more memory delivers must not become a 502. */
    @Test(dataProvider = "responses")
    public void responseIsNotTooLarge(int status, int bytes, boolean hasLength) {
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        if (hasLength) {
            HttpUtil.setContentLength(head, bytes);
        }
        ResponseCollector collector =
                new ResponseCollector(head, isReading -> {}, kind -> {}, mMemory);
        Optional<CallerResponse> response = Optional.empty();
        for (int sent = 0; sent < bytes; sent += CHUNK_BYTES) {
            ByteBuf chunk = Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]);
            Optional<CallerResponse> streamed = collector.add(chunk);
            response = response.or(() -> streamed);
            assertFalse(collector.isTooLarge(), "after " + sent);
            assertTrue(mAccount.heldBytes() <= 2 * MEGABYTE, "held " + mAccount.heldBytes());
        }
        Optional<CallerResponse> ended = collector.end(EmptyHttpHeaders.INSTANCE);
        response.or(() -> ended).orElseThrow().discard();
        assertEquals(mAccount.heldBytes(), 0);
    }

    /** A response that is streamed must arrive whole. */
    @Test
    public void largeResponseArrivesWhole() {
        try (GatewayFixture fixture =
                new GatewayFixture(
                        new FreezableClock(),
                        settings ->
                                settings.replace(
                                        "[store]", MEMORY + System.lineSeparator() + "[store]"))) {
            fixture.mTargets.forEach(
                    target -> target.setBehaviour(request -> Behaviour.RESPOND_LARGE));
            String response = fixture.get("/r/large");
            assertEquals(CallerStandIn.status(response), 200);
            assertTrue(
                    response.endsWith("x".repeat(SigningTargetStandIn.LARGE_BODY_BYTES)),
                    "received " + response.length());
        }
    }
}
