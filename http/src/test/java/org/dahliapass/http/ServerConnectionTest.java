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
    public void answerHasItsLengthAndTheConnectionStays() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.answer("hi")));
        server.send("GET /a HTTP/1.1\n" + HOST + "\n");
        String answer = server.received();
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("content-length: 2\r\n"), answer);
        assertTrue(answer.endsWith("\r\n\r\nhi"), answer);
        assertTrue(server.mChannel.isActive());
    }

    /** A caller would get another one's listing if the second answer overtook the first. */
    @Test
    public void pipelinedRequestsAreAnsweredOneAfterAnother() {
        ServerFixture server = new ServerFixture();
        server.send("GET /1 HTTP/1.1\n" + HOST + "\nGET /2 HTTP/1.1\n" + HOST + "\n");
        assertEquals(server.mCalls.size(), 1);
        server.mCalls.get(0).respond(ServerFixture.answer("one"));
        assertEquals(server.mCalls.size(), 2);
        assertEquals(server.mCalls.get(1).head().uri(), "/2");
        server.mCalls.get(1).respond(ServerFixture.answer("two"));
        String answers = server.received();
        assertTrue(answers.indexOf("one") < answers.indexOf("two"), answers);
    }

    /** A client that sends requests and reads nothing must not fill the memory. */
    @Test
    public void noMoreIsReadWhileManyPipelinedRequestsWait() {
        ServerFixture server = new ServerFixture();
        for (int number = 0; number < 100; number++) {
            server.send("GET /" + number + " HTTP/1.1\n" + HOST + "\n");
        }
        assertFalse(server.mChannel.config().isAutoRead());
        for (int number = 0; number < 100; number++) {
            server.mCalls.get(number).respond(ServerFixture.answer("x"));
        }
        assertTrue(server.mChannel.config().isAutoRead());
        assertEquals(server.mCalls.size(), 100);
    }

    /** Sizes of chunks that some clients send: filled up with zeros, in capitals, extended. */
    @Test
    public void sizesOfChunksMayBeWrittenInSeveralWays() {
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
    public void bodyInChunksIsCollected() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST /a HTTP/1.1\n" + HOST + "Transfer-Encoding: chunked\n\n3\nabc\n");
        assertEquals(bodies, List.of());
        server.send("2\nde\n0\n\n");
        assertEquals(bodies, List.of("abcde"));
    }

    @Test
    public void bodyOverTheLimitIsToldBeforeItComes() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST /a HTTP/1.1\n" + HOST + "Content-Length: 11\n\n");
        assertEquals(bodies, List.of("too large"));
    }

    @Test
    public void chunksOverTheLimitAreToldAndDropped() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 4);
        server.send("POST /a HTTP/1.1\n" + HOST + "Transfer-Encoding: chunked\n\n5\nabcde\n");
        assertEquals(bodies, List.of("too large"));
        server.send("5\nabcde\n0\n\n");
        assertEquals(bodies, List.of("too large"));
    }

    /** A part of a refused body must not be taken for the next request. */
    @Test
    public void bodyOfARequestThatWasAnsweredEarlyIsDropped() {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerFixture.answer(call.head().uri())));
        server.send("POST /1 HTTP/1.1\n" + HOST + "Content-Length: 25\n\n");
        assertEquals(server.mCalls.size(), 1);
        server.sendRaw("GET /inner HTTP/1.1\r\n\r\nxx");
        server.send("GET /2 HTTP/1.1\n" + HOST + "\n");
        assertEquals(server.mCalls.size(), 2);
        assertEquals(server.mCalls.get(1).head().uri(), "/2");
    }

    /** Requests that two readers may take for different ones, with the status that refuses them. */
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
    public void malformedRequestIsRefusedAndNothingBehindItIsRead(String bytes) {
        ServerFixture server = new ServerFixture();
        server.sendRaw(bytes);
        server.sendRaw("GET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
        String answer = server.received();
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.contains("connection: close"), answer);
        assertFalse(server.mChannel.isActive());
        assertTrue(
                server.mCalls.stream().noneMatch(call -> call.head().uri().equals("/inner")),
                "the request behind was taken");
    }

    /** Requests whose end or meaning can be told in two ways: section, status, request. */
    @DataProvider
    public Object[][] ambiguous() {
        String post = "POST /outer HTTP/1.1\n" + HOST;
        return new Object[][] {
            {"RFC 9112, 6.1: an unknown coding", 501, post + "Transfer-Encoding: gzip\n\n"},
            {"RFC 9112, 6.1: no coding", 501, post + "Transfer-Encoding: identity\n\n"},
            {"RFC 9112, 6.3: not the last", 501, post + "Transfer-Encoding: chunked, gzip\n\n"},
            {"RFC 9112, 6.3: not alone", 501, post + "Transfer-Encoding: gzip, chunked\n\n"},
            {"RFC 9112, 7: quoted", 501, post + "Transfer-Encoding: \"chunked\"\n\n0\n\n"},
            {
                "RFC 9112, 6.1: twice",
                501,
                post + "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n0\n\n"
            },
            {
                "RFC 9112, 6.1: beside a length",
                501,
                post + "Transfer-Encoding: gzip\nContent-Length: 2\n\nok"
            },
            {
                "RFC 9112, 6.1: by an old client",
                400,
                "POST / HTTP/1.0\n" + HOST + "Transfer-Encoding: chunked\n\n0\n\n"
            },
            {"RFC 9112, 5.2: a fold", 400, post + "X-A: b\n Content-Length: 9\n\n"},
            {"RFC 9112, 5.2: a fold by a tab", 400, post + "X-A: b\n\tc\n\n"},
            {"RFC 9112, 5.2: before all headers", 400, "GET / HTTP/1.1\n X-A: b\n" + HOST + "\n"},
            {"RFC 9112, 2.2: before the line", 400, " GET / HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: two blanks", 400, "GET  / HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: two blanks", 400, "GET /  HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 3: a tab", 400, "GET\t/ HTTP/1.1\n" + HOST + "\n"},
            {"RFC 9112, 2.3: version", 505, "GET / HTTP/2.0\n" + HOST + "\n"},
            {"RFC 9112, 2.3: version", 505, "GET / HTTP/1.2\n" + HOST + "\n"},
            {"RFC 9110, 7.2: a host with a blank", 400, "GET / HTTP/1.1\nHost: a b\n\n"},
            {"RFC 9110, 7.2: an empty host", 400, "GET / HTTP/1.1\nHost:\n\n"},
        };
    }

    /** Nothing runs that no caller asked for: the bytes behind such a request belong to nobody. */
    @Test(dataProvider = "ambiguous")
    public void ambiguousRequestIsRefusedAndNothingBehindItIsRead(
            String section, int status, String request) {
        ServerFixture server = new ServerFixture();
        server.send(request);
        server.send("GET /inner HTTP/1.1\n" + HOST + "\n");
        String answer = server.received();
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), section + ": " + answer);
        assertFalse(server.mChannel.isActive(), section);
        assertEquals(server.mCalls.size(), 0, section);
    }

    /** The same however the network cuts the bytes, and behind a request that was served. */
    @Test(dataProvider = "ambiguous")
    public void ambiguousRequestBehindAnotherOneIsRefused(
            String section, int status, String request) {
        ServerFixture server =
                new ServerFixture(call -> call.respond(ServerResponse.of(HttpResponseStatus.OK)));
        server.send("\nPOST /first HTTP/1.1\n" + HOST + "Content-Length: 2\n\n x");
        for (int place = 0; place < request.length(); place++) {
            server.send(request.substring(place, place + 1));
        }
        String answer = server.received();
        assertTrue(answer.contains("HTTP/1.1 " + status + " "), section + ": " + answer);
        assertFalse(server.mChannel.isActive(), section);
        assertEquals(server.mCalls.size(), 1, section);
    }

    @Test
    public void headOverTheLimitIsRefused() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "X: " + "x".repeat(70_000) + "\n\n");
        assertTrue(server.received().startsWith("HTTP/1.1 431 "));
    }

    @Test
    public void lineOverTheLimitIsRefused() {
        ServerFixture server = new ServerFixture();
        server.send("GET /" + "x".repeat(70_000) + " HTTP/1.1\n" + HOST + "\n");
        assertTrue(server.received().startsWith("HTTP/1.1 414 "));
    }

    @Test
    public void clientThatAsksMayGoOnOnceItsBodyIsWanted() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 2\nExpect: 100-continue\n\n");
        assertEquals(server.received(), "HTTP/1.1 100 Continue\r\n\r\n");
        server.sendRaw("ab");
        assertEquals(bodies, List.of("ab"));
    }

    /** The client may or may not send its body now, so what comes can't be told apart. */
    @Test
    public void clientThatAsksAndIsRefusedGetsItsAnswerAndTheConnectionCloses() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.answer("no")));
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 2\nExpect: 100-continue\n\n");
        String answer = server.received();
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(answer.contains("connection: close"), answer);
        assertFalse(server.mChannel.isActive());
    }

    @Test
    public void slowHeadEndsWithARefusal() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n");
        server.pass(Duration.ofMillis(2_900));
        assertTrue(server.mChannel.isActive());
        server.send("Host: a\n");
        server.pass(Duration.ofMillis(200));
        assertTrue(server.received().startsWith("HTTP/1.1 408 "));
        assertFalse(server.mChannel.isActive());
    }

    @Test
    public void bodyThatStallsEndsWithARefusalAndOneThatGoesOnDoesNot() {
        List<String> bodies = new ArrayList<>();
        ServerFixture server = bodyReader(bodies, 10);
        server.send("POST / HTTP/1.1\n" + HOST + "Content-Length: 3\n\na");
        server.pass(Duration.ofMillis(4_900));
        server.sendRaw("b");
        server.pass(Duration.ofMillis(4_900));
        assertTrue(server.mChannel.isActive());
        server.pass(Duration.ofMillis(200));
        assertTrue(server.received().startsWith("HTTP/1.1 408 "));
        assertEquals(bodies, List.of());
    }

    @Test
    public void idleConnectionIsClosedWithoutAnAnswer() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.answer("x")));
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.received();
        server.pass(Duration.ofMillis(14_900));
        assertTrue(server.mChannel.isActive());
        server.pass(Duration.ofMillis(200));
        assertEquals(server.received(), "");
        assertFalse(server.mChannel.isActive());
    }

    /** An answer may take as long as its route allows; no limit on clients may end it. */
    @Test
    public void requestThatIsAtWorkIsNotEnded() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.pass(Duration.ofMinutes(10));
        assertTrue(server.mChannel.isActive());
    }

    @Test
    public void answerToHeadTellsItsLengthAndHasNoBody() {
        ServerFixture server = new ServerFixture();
        server.send("HEAD / HTTP/1.1\n" + HOST + "\n");
        ServerResponse answer = ServerFixture.answer("");
        answer.headers().set("content-length", 77);
        server.mCalls.get(0).respond(answer);
        String text = server.received();
        assertTrue(text.contains("content-length: 77\r\n"), text);
        assertTrue(text.endsWith("\r\n\r\n"), text);
    }

    @Test
    public void oldClientsConnectionClosesUnlessItAsksOtherwise() {
        ServerFixture server = new ServerFixture(call -> call.respond(ServerFixture.answer("x")));
        server.send("GET / HTTP/1.0\nConnection: keep-alive\n\n");
        assertTrue(server.received().contains("connection: keep-alive"));
        assertTrue(server.mChannel.isActive());
        server.send("GET / HTTP/1.0\n\n");
        assertTrue(server.received().contains("connection: close"));
        assertFalse(server.mChannel.isActive());
    }

    /** Work would go on for a client that has left. */
    @Test
    public void clientThatLeavesIsToldOfOnce() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        List<String> told = new ArrayList<>();
        server.mCalls.get(0).onDisconnect(() -> told.add("gone"));
        server.mCalls.get(0).onDelivered(delivery -> told.add("whole " + delivery.whole()));
        server.mChannel.close().syncUninterruptibly();
        assertEquals(told, List.of("whole false", "gone"));
    }

    /** The request waited for something else meanwhile, and would be sent on for nobody. */
    @Test
    public void whoAsksAfterTheClientLeftIsToldAtOnce() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        server.mChannel.close().syncUninterruptibly();
        List<String> told = new ArrayList<>();
        server.mCalls.get(0).onDisconnect(() -> told.add("gone"));
        assertEquals(told, List.of("gone"));
    }

    @Test
    public void streamedAnswerOfUnknownLengthComesInChunks() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        ServerCall call = server.mCalls.get(0);
        call.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), -1);
        call.write(Unpooled.copiedBuffer("abc", StandardCharsets.UTF_8));
        call.endResponse(EmptyHttpHeaders.INSTANCE);
        String answer = server.received();
        assertTrue(answer.contains("transfer-encoding: chunked"), answer);
        assertTrue(answer.endsWith("3\r\nabc\r\n0\r\n\r\n"), answer);
        assertTrue(server.mChannel.isActive());
    }

    /** Half an extract must not look like a whole one. */
    @Test
    public void streamedAnswerThatIsCutHasNoEnd() {
        ServerFixture server = new ServerFixture();
        server.send("GET / HTTP/1.1\n" + HOST + "\n");
        ServerCall call = server.mCalls.get(0);
        call.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), -1);
        call.write(Unpooled.copiedBuffer("abc", StandardCharsets.UTF_8));
        call.abort();
        assertTrue(server.received().endsWith("3\r\nabc\r\n"));
        assertFalse(server.mChannel.isActive());
    }

    private static ServerFixture bodyReader(List<String> bodies, int most) {
        return new ServerFixture(
                call ->
                        call.readBody(
                                most,
                                body -> bodies.add(body.toString(StandardCharsets.UTF_8)),
                                () -> bodies.add("too large")));
    }
}
