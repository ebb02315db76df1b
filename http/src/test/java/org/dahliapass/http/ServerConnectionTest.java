package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ServerConnection}. */
public final class ServerConnectionTest {
    private static final String HOST = "Host: a.example\n";

    @Test
    public void responseHasContentLengthAndConnectionIsKeptAlive() {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerFixture.response("hi")));
        server.send("GET /a HTTP/1.1\n" + HOST + "\n");
        String response = server.received();
        assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n"), response);
        assertTrue(response.contains("content-length: 2\r\n"), response);
        assertTrue(response.endsWith("\r\n\r\nhi"), response);
        assertTrue(server.mChannel.isActive());
    }

    /** An overtaking response would be attributed to the wrong request. */
    @Test
    public void pipelinedRequestsAreHandledInOrder() {
        ServerFixture server = new ServerFixture();
        server.send("GET /1 HTTP/1.1\n" + HOST + "\nGET /2 HTTP/1.1\n" + HOST + "\n");
        assertEquals(server.mCalls.size(), 1);
        server.mCalls.get(0).respond(ServerFixture.response("one"));
        assertEquals(server.mCalls.size(), 2);
        assertEquals(server.mCalls.get(1).head().uri(), "/2");
        server.mCalls.get(1).respond(ServerFixture.response("two"));
        String responses = server.received();
        assertTrue(responses.indexOf("one") < responses.indexOf("two"), responses);
    }

    /** A client that sends requests without reading responses must not exhaust memory. */
    @Test
    public void readingPausesWhileTooManyPipelinedRequestsWait() {
        ServerFixture server = new ServerFixture();
        for (int number = 0; number < 100; number++) {
            server.send("GET /" + number + " HTTP/1.1\n" + HOST + "\n");
        }
        assertFalse(server.mChannel.config().isAutoRead());
        for (int number = 0; number < 100; number++) {
            server.mCalls.get(number).respond(ServerFixture.response("x"));
        }
        assertTrue(server.mChannel.config().isAutoRead());
        assertEquals(server.mCalls.size(), 100);
    }

    /** Chunk sizes may have leading zeros, upper-case digits and extensions. */
    @Test
    public void chunkSizesAreParsedInAllAllowedForms() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server =
                new ServerFixture(
                        call ->
                                call.readBody(
                                        1_000,
                                        body ->
                                                bodies.add(
                                                        body.toString(StandardCharsets.US_ASCII)),
                                        () -> {}));
        server.send(
                "POST / HTTP/1.1\n"
                        + HOST
                        + "Transfer-Encoding: chunked\n\n00000002\nab\nA;x=y\n0123456789\n"
                        + "0\nX-Trailer: z\n\n");
        assertEquals(bodies, List.of("ab0123456789"));
    }

    @Test
    public void chunkedBodyIsCollected() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST /a HTTP/1.1\n" + HOST + "Transfer-Encoding: chunked\n\n3\nabc\n");
        assertEquals(bodies, List.of());
        server.send("2\nde\n0\n\n");
        assertEquals(bodies, List.of("abcde"));
    }

    @Test
    public void bodyOverTheLimitIsRejectedByItsContentLength() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST /a HTTP/1.1\n" + HOST + "Content-Length: 11\n\n");
        assertEquals(bodies, List.of("too large"));
    }

    @Test
    public void chunkedBodyOverTheLimitIsRejectedAndDiscarded() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 4);
        server.send("POST /a HTTP/1.1\n" + HOST + "Transfer-Encoding: chunked\n\n5\nabcde\n");
        assertEquals(bodies, List.of("too large"));
        server.send("5\nabcde\n0\n\n");
        assertEquals(bodies, List.of("too large"));
    }

    /** The rest of a body must not be processed as the next request. */
    @Test
    public void bodyIsDiscardedAfterAnEarlyResponse() {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerFixture.response(call.head().uri())));
        server.send("POST /1 HTTP/1.1\n" + HOST + "Content-Length: 25\n\n");
        assertEquals(server.mCalls.size(), 1);
        server.sendBytes("GET /inner HTTP/1.1\r\n\r\nxx");
        server.send("GET /2 HTTP/1.1\n" + HOST + "\n");
        assertEquals(server.mCalls.size(), 2);
        assertEquals(server.mCalls.get(1).head().uri(), "/2");
    }

    /** Malformed requests that implementations may interpret differently. */
    @DataProvider
    public Object[][] malformed() {
        String length = "Content-Length: 4\r\n";
        String host = "Host: a\r\n";
        return new Object[][] {
            {"POST / HTTP/1.1\r\n" + host + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"POST / HTTP/1.1\r\n" + host + length + "Content-Length: 5\r\n\r\nabcde"},
            {"POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n"},
            {"POST / HTTP/1.1\r\n" + host + "Content-Length: four\r\n\r\n"},
            {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
            {"GET / HTTP/1.1\r\n\r\n"},
            {"GET / HTTP/1.1\r\n" + host + host + "\r\n"},
            {"GET /\u00e9 HTTP/1.1\r\n" + host + "\r\n"},
            {"GET / HTTP/1.1\nHost: a\n\n"},
            {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n"},
            {"GET / HTTP/1.1\r\nHost : a\r\n\r\n"},
            {"GET / HTTP/1.1\r\n" + host + "X\r\n\r\n"},
            {"nonsense\r\n\r\n"},
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedRequestIsRejectedAndLaterBytesAreDiscarded(String bytes) {
        ServerFixture server = new ServerFixture();
        server.sendBytes(bytes);
        server.sendBytes("GET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
        String response = server.received();
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertTrue(response.contains("connection: close"), response);
        assertFalse(server.mChannel.isActive());
        assertTrue(
                server.mCalls.stream().noneMatch(call -> call.head().uri().equals("/inner")),
                "the later request was handled");
    }

    /** Requests with an ambiguous end or meaning: section, status, request. */
    @DataProvider
    public Object[][] ambiguous() {
        String post = "POST /outer HTTP/1.1\n" + HOST;
        return new Object[][] {
            {"RFC 9112, 6.1: unknown coding", 501, post + "Transfer-Encoding: gzip\n\n"},
            {"RFC 9112, 6.1: identity coding", 501, post + "Transfer-Encoding: identity\n\n"},
            {"RFC 9112, 6.3: chunked not last", 501, post + "Transfer-Encoding: chunked, gzip\n\n"},
            {
                "RFC 9112, 6.3: chunked not alone",
                501,
                post + "Transfer-Encoding: gzip, chunked\n\n"
            },
            {"RFC 9112, 7: quoted coding", 501, post + "Transfer-Encoding: \"chunked\"\n\n0\n\n"},
            {
                "RFC 9112, 6.1: chunked twice",
                501,
                post + "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n0\n\n"
            },
            {
                "RFC 9112, 6.1: coding and length",
                501,
                post + "Transfer-Encoding: gzip\nContent-Length: 2\n\nok"
            },
            {
                "RFC 9112, 6.1: coding in HTTP/1.0",
                400,
                "POST / HTTP/1.0\n" + HOST + "Transfer-Encoding: chunked\n\n0\n\n"
            },
            {"RFC 9112, 5.2: folded line", 400, post + "X-A: b\n Content-Length: 9\n\n"},
            {"RFC 9112, 5.2: line folded with a tab", 400, post + "X-A: b\n\tc\n\n"},
            {"RFC 9112, 5.2: folded first line", 400, "GET / HTTP/1.1\n X-A: b\n" + HOST + "\n"},
            {"RFC 9112, 2.2: space before line", 400, " GET / HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: two spaces", 400, "GET  / HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: two spaces", 400, "GET /  HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: tab", 400, "GET\t/ HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 2.3: version", 505, "GET / HTTP/2.0\n" + HOST + "\n"},
            {"RFC 9112, 2.3: version", 505, "GET / HTTP/1.2\n" + HOST + "\n"},
            {"RFC 9110, 7.2: host with a space", 400, "GET / HTTP/1.1\nHost: a b\n\n"},
            {"RFC 9110, 7.2: empty host", 400, "GET / HTTP/1.1\nHost:\n\n"},
        };
    }

    /** Prevents request smuggling: the bytes after such a request must not be processed. */
    @Test(dataProvider = "ambiguous")
    public void ambiguousRequestIsRejectedAndLaterBytesAreDiscarded(
            String section, int status, String request) {
        ServerFixture server = new ServerFixture();
        server.send(request);
        server.send("GET /inner HTTP/1.1\n" + HOST + "\n");
        String response = server.received();
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), section + ": " + response);
        assertFalse(server.mChannel.isActive(), section);
        assertEquals(server.mCalls.size(), 0, section);
    }

    /** The result must not depend on segmentation or on an earlier valid request. */
    @Test(dataProvider = "ambiguous")
    public void ambiguousRequestIsRejectedAfterAValidOneInAnySegmentation(
            String section, int status, String request) {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerResponse.of(HttpResponseStatus.OK)));
        server.send("\nPOST /first HTTP/1.1\n" + HOST + "Content-Length: 2\n\n x");
        for (int index = 0; index < request.length(); index++) {
            server.send(request.substring(index, index + 1));
        }
        String response = server.received();
        assertTrue(response.contains("HTTP/1.1 " + status + " "), section + ": " + response);
        assertFalse(server.mChannel.isActive(), section);
        assertEquals(server.mCalls.size(), 1, section);
    }

    @Test
    public void headOverTheLimitIsRejected() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "X: " + "x".repeat(70_000) + "\n\n");
        assertTrue(server.received().startsWith("HTTP/1.1 431 "));
    }

    @Test
    public void requestLineOverTheLimitIsRejected() {
        ServerFixture server = new ServerFixture();
        server.send("GET /" + "x".repeat(70_000) + " HTTP/1.1\n" + HOST + "\n");
        assertTrue(server.received().startsWith("HTTP/1.1 414 "));
    }

    @Test
    public void continueIsSentOnceTheBodyIsRead() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 2\nExpect: 100-continue\n\n");
        assertEquals(server.received(), "HTTP/1.1 100 Continue\r\n\r\n");
        server.sendBytes("ab");
        assertEquals(bodies, List.of("ab"));
    }

    /** The client may or may not send its body now, so the next request can't be framed. */
    @Test
    public void connectionClosesIfTheResponsePrecedesContinue() {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerFixture.response("no")));
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 2\nExpect: 100-continue\n\n");
        String response = server.received();
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.contains("connection: close"), response);
        assertFalse(server.mChannel.isActive());
    }

    @Test
    public void slowHeadTimesOut() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n");
        server.advanceTime(Duration.ofMillis(2_900));
        assertTrue(server.mChannel.isActive());
        server.send("Host: a\n");
        server.advanceTime(Duration.ofMillis(200));
        assertTrue(server.received().startsWith("HTTP/1.1 408 "));
        assertFalse(server.mChannel.isActive());
    }

    @Test
    public void stalledBodyTimesOutAndProgressRestartsTheTimeout() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 3\n\na");
        server.advanceTime(Duration.ofMillis(4_900));
        server.sendBytes("b");
        server.advanceTime(Duration.ofMillis(4_900));
        assertTrue(server.mChannel.isActive());
        server.advanceTime(Duration.ofMillis(200));
        assertTrue(server.received().startsWith("HTTP/1.1 408 "));
        assertEquals(bodies, List.of());
    }

    @Test
    public void idleConnectionIsClosedWithoutAResponse() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.response("x")));
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.received();
        server.advanceTime(Duration.ofMillis(14_900));
        assertTrue(server.mChannel.isActive());
        server.advanceTime(Duration.ofMillis(200));
        assertEquals(server.received(), "");
        assertFalse(server.mChannel.isActive());
    }

    /** Client timeouts must not apply while the request is handled. */
    @Test
    public void requestBeingHandledDoesNotTimeOut() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.advanceTime(Duration.ofMinutes(10));
        assertTrue(server.mChannel.isActive());
    }

    @Test
    public void headResponseHasContentLengthAndNoBody() {
        ServerFixture server = new ServerFixture();
        server.send("HEAD / HTTP/1.1\n" + HOST + "\n");
        ServerResponse response = ServerFixture.response("");
        response.headers().set("content-length", 77);
        server.mCalls.get(0).respond(response);
        String text = server.received();
        assertTrue(text.contains("content-length: 77\r\n"), text);
        assertTrue(text.endsWith("\r\n\r\n"), text);
    }

    @Test
    public void http10ConnectionClosesUnlessKeepAliveIsRequested() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.response("x")));
        server.send("GET / HTTP/1.0\nConnection: keep-alive\n\n");
        assertTrue(server.received().contains("connection: keep-alive"));
        assertTrue(server.mChannel.isActive());
        server.send("GET / HTTP/1.0\n\n");
        assertTrue(server.received().contains("connection: close"));
        assertFalse(server.mChannel.isActive());
    }

    /** A handler that is not notified keeps working for a disconnected client. */
    @Test
    public void disconnectIsReportedOnce() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        List<String> events = new ArrayList<>();
        server.mCalls.get(0).onDisconnect(() -> events.add("disconnected"));
        server.mCalls.get(0).onDelivered(delivery -> events.add("whole " + delivery.whole()));
        server.mChannel.close().syncUninterruptibly();
        assertEquals(events, List.of("whole false", "disconnected"));
    }

    /** A request that waited meanwhile must not be forwarded for a disconnected client. */
    @Test
    public void disconnectListenerAddedLateRunsImmediately() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.mChannel.close().syncUninterruptibly();
        List<String> events = new ArrayList<>();
        server.mCalls.get(0).onDisconnect(() -> events.add("disconnected"));
        assertEquals(events, List.of("disconnected"));
    }

    @Test
    public void streamedResponseOfUnknownLengthIsChunked() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        ServerCall call = server.mCalls.get(0);
        call.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), -1);
        call.write(Unpooled.copiedBuffer("abc", StandardCharsets.UTF_8));
        call.endResponse(EmptyHttpHeaders.INSTANCE);
        String response = server.received();
        assertTrue(response.contains("transfer-encoding: chunked"), response);
        assertTrue(response.endsWith("3\r\nabc\r\n0\r\n\r\n"), response);
        assertTrue(server.mChannel.isActive());
    }

    /** A truncated response must not look complete. */
    @Test
    public void abortedStreamedResponseHasNoFinalChunk() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        ServerCall call = server.mCalls.get(0);
        call.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), -1);
        call.write(Unpooled.copiedBuffer("abc", StandardCharsets.UTF_8));
        call.abort();
        assertTrue(server.received().endsWith("3\r\nabc\r\n"));
        assertFalse(server.mChannel.isActive());
    }

    private static ServerFixture bodyReader(List<String> bodies, int maxBytes) {
        return new ServerFixture(
                call ->
                        call.readBody(
                                maxBytes,
                                body -> bodies.add(body.toString(StandardCharsets.UTF_8)),
                                () -> bodies.add("too large")));
    }
}
