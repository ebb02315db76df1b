package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.RawServerStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that only a response that the protocol allows is received as one. */
public final class InvalidResponseTest {
    /** Never reached: what fails does so by what the server sends. */
    private static final Duration TIME_LIMIT = Duration.ofMinutes(10);

    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LENGTH = "Content-Length: 2\r\n\r\n";

    private EventLoopGroup mLoops;
    private HttpClient mClient;
    private RawServerStandIn mServer;

    @BeforeMethod
    public void start() throws IOException {
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops,
                        new ManualClock(Instant.EPOCH),
                        Duration.ofSeconds(20),
                        Duration.ofSeconds(20));
        mServer = new RawServerStandIn();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mClient.stop().join();
        Future<?> unused = mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] statusLines() {
        return new Object[][] {
            {"status 000", "HTTP/1.1 000 Unknown\r\n"},
            {"status 099", "HTTP/1.1 099 Unknown\r\n"},
            {"status 600", "HTTP/1.1 600 Unknown\r\n"},
            {"status 999", "HTTP/1.1 999 Unknown\r\n"},
            {"status with two digits", "HTTP/1.1 20 OK\r\n"},
            {"status with four digits", "HTTP/1.1 0200 OK\r\n"},
            {"status with a sign", "HTTP/1.1 +200 OK\r\n"},
            {"negative status", "HTTP/1.1 -200 OK\r\n"},
            {"status in other digits", "HTTP/1.1 \u00b2\u00b2\u00b2 OK\r\n"},
            {"status behind two blanks", "HTTP/1.1  200 OK\r\n"},
            {"status behind a tab", "HTTP/1.1\t200 OK\r\n"},
            {"status without a blank behind it", "HTTP/1.1 200\r\n"},
            {"status before a tab", "HTTP/1.1 200\tOK\r\n"},
            {"blank before the version", " HTTP/1.1 200 OK\r\n"},
            {"empty line before the version", "\r\nHTTP/1.1 200 OK\r\n"},
            {"version in lower case", "http/1.1 200 OK\r\n"},
            {"version 1.2", "HTTP/1.2 200 OK\r\n"},
            {"version 2.0", "HTTP/2.0 200 OK\r\n"},
            {"version with two digits", "HTTP/1.01 200 OK\r\n"},
            {"control byte in the reason", "HTTP/1.1 200 O\u0001K\r\n"},
            {"return in the reason", "HTTP/1.1 200 O\rK\r\n"},
            {"line end without a return", "HTTP/1.1 200 OK\n"},
            {"second status line in the reason", "HTTP/1.1 200 HTTP/1.1 503\r\n"},
        };
    }

    /** Guards against a status line that no server may send, received as an answer. */
    @Test(dataProvider = "statusLines")
    public void responseWithInvalidStatusLineFails(String name, String statusLine) {
        assertFails(name, statusLine + LENGTH + "hi");
    }

    @DataProvider
    public Object[][] fieldLines() {
        return new Object[][] {
            {"blank before the colon", "A : a\r\n"},
            {"tab before the colon", "A\t: a\r\n"},
            {"blank in a name", "A b: a\r\n"},
            {"blank in a framing name", "Content-Length x: 5\r\n"},
            {"blank before a framing name's colon", "Transfer-Encoding : chunked\r\n"},
            {"control byte in a name", "A\u0001b: a\r\n"},
            {"control byte before a name", "\u0001A: a\r\n"},
            {"zero byte in a name", "A\u0000b: a\r\n"},
            {"delete byte in a name", "A\u007fb: a\r\n"},
            {"byte beyond ASCII in a name", "A\u00e9: a\r\n"},
            {"separator in a name", "A(b): a\r\n"},
            {"quotes around a name", "\"A\": a\r\n"},
            {"empty name", ": a\r\n"},
            {"no colon", "A\r\n"},
            {"folded line", "A: a\r\n b\r\n"},
            {"line folded by a tab", "A: a\r\n\tb\r\n"},
            {"blank before the first name", " A: a\r\n"},
            {"zero byte in a value", "A: a\u0000b\r\n"},
            {"control byte in a value", "A: a\u0001b\r\n"},
            {"delete byte in a value", "A: a\u007fb\r\n"},
            {"return in a value", "A: a\rb\r\n"},
            {"line end without a return", "A: a\n"},
            {"second status line in a value", "A: aHTTP/1.1 503 Unavailable\r\n"},
        };
    }

    /** Guards against a field line that no server may send, in the head of an answer. */
    @Test(dataProvider = "fieldLines")
    public void responseWithInvalidFieldLineFails(String name, String fieldLine) {
        assertFails(name, HEAD + fieldLine + LENGTH + "hi");
    }

    /** Guards against the same in a head that another one follows. */
    @Test(dataProvider = "fieldLines")
    public void interimResponseWithInvalidFieldLineFails(String name, String fieldLine) {
        assertFails(
                name, "HTTP/1.1 103 Early Hints\r\n" + fieldLine + "\r\n" + HEAD + LENGTH + "hi");
    }

    /** Guards against the same behind a body in chunks. */
    @Test(dataProvider = "fieldLines")
    public void responseWithInvalidTrailerFails(String name, String fieldLine) {
        assertFails(name, CHUNKED + "2\r\nhi\r\n0\r\n" + fieldLine + "\r\n");
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            {"no digits", "Content-Length: \r\n\r\nhi"},
            {"sign", "Content-Length: +2\r\n\r\nhi"},
            {"negative", "Content-Length: -2\r\n\r\nhi"},
            {"hexadecimal", "Content-Length: 0x2\r\n\r\nhi"},
            {"fraction", "Content-Length: 2.0\r\n\r\nhi"},
            {"blank between digits", "Content-Length: 0 2\r\n\r\nhi"},
            {"list", "Content-Length: 2, 2\r\n\r\nhi"},
            {"twice", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"},
            {"two different", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"},
            {"too large", "Content-Length: 99999999999999999999\r\n\r\nhi"},
            {"beside chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"unknown coding", "Transfer-Encoding: gzip\r\n\r\nhi"},
            {"empty coding", "Transfer-Encoding: \r\n\r\nhi"},
            {"identity coding", "Transfer-Encoding: identity\r\n\r\nhi"},
            {"two codings", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
            {
                "chunked twice",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            },
        };
    }

    /** Guards against a body whose end is ambiguous. */
    @Test(dataProvider = "lengths")
    public void responseWithInvalidLengthFails(String name, String fieldsAndBody) {
        assertFails(name, HEAD + fieldsAndBody);
    }

    @DataProvider
    public Object[][] framedHeads() {
        return new Object[][] {
            {
                "chunks in version 1.0",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            },
            {"chunks in 204", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"},
            {"length in 204", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n"},
            {"length in an interim head", "HTTP/1.1 103 A\r\n" + LENGTH + HEAD + LENGTH + "hi"},
            {
                "chunks in an interim head",
                "HTTP/1.1 103 A\r\nTransfer-Encoding: chunked\r\n\r\n" + HEAD + LENGTH + "hi"
            },
            {"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n"},
            {"only an interim head", "HTTP/1.1 103 Early Hints\r\n\r\n"},
            {"no response", ""},
            {"part of a head", HEAD + "A: a\r\n"},
        };
    }

    /** Guards against a head that may not announce such a body, or that no final one follows. */
    @Test(dataProvider = "framedHeads")
    public void responseWithInvalidHeadFails(String name, String response) {
        assertFails(name, response);
    }

    @DataProvider
    public Object[] heads() {
        return new Object[] {
            HEAD + LENGTH,
            CHUNKED,
            HEAD + "A: a\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n" + HEAD + LENGTH,
        };
    }

    /** Guards against a cut head whose missing body looks complete. */
    @Test(dataProvider = "heads")
    public void responseWhoseHeadIsCutFails(String head) {
        for (int length = 0; length < head.length(); length++) {
            assertFails(length + " bytes", head.substring(0, length));
        }
    }

    @DataProvider
    public Object[][] chunks() {
        return new Object[][] {
            {"no size", "\r\nhi\r\n0\r\n\r\n"},
            {"negative size", "-2\r\nhi\r\n0\r\n\r\n"},
            {"size with a sign", "+2\r\nhi\r\n0\r\n\r\n"},
            {"size with a prefix", "0x2\r\nhi\r\n0\r\n\r\n"},
            {"size that is no number", "g\r\nhi\r\n0\r\n\r\n"},
            {"size with a number behind a blank", "2 2\r\nhi\r\n0\r\n\r\n"},
            {"blank before the size", " 2\r\nhi\r\n0\r\n\r\n"},
            {"blank behind the size", "2 \r\nhi\r\n0\r\n\r\n"},
            {"control byte before the size", "\u00012\r\nhi\r\n0\r\n\r\n"},
            {"control byte behind the size", "2\u0001\r\nhi\r\n0\r\n\r\n"},
            {"size beyond 32 bits", "100000002\r\nhi\r\n0\r\n\r\n"},
            {"size beyond 64 bits", "10000000000000002\r\nhi\r\n0\r\n\r\n"},
            {"control byte in an extension", "2;a\u0001\r\nhi\r\n0\r\n\r\n"},
            {"size line end without a return", "2\nhi\r\n0\r\n\r\n"},
            {"data longer than its size", "2\r\nhis\r\n0\r\n\r\n"},
            {"data shorter than its size", "3\r\nhi\r\n0\r\n\r\n"},
            {"data without a line end", "2\r\nhi0\r\n\r\n"},
            {"data line end without a return", "2\r\nhi\n0\r\n\r\n"},
            {"no last chunk", "2\r\nhi\r\n"},
            {"part of the last chunk", "2\r\nhi\r\n0\r\n"},
            {"length as a trailer", "2\r\nhi\r\n0\r\nContent-Length: 2\r\n\r\n"},
            {"coding as a trailer", "2\r\nhi\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
        };
    }

    /** Guards against a body in chunks that is cut or continued where its server did not. */
    @Test(dataProvider = "chunks")
    public void responseWithInvalidChunksFails(String name, String body) {
        assertFails(name, CHUNKED + body);
    }

    @DataProvider
    public Object[][] validResponses() {
        return new Object[][] {
            {"empty reason", "HTTP/1.1 200 \r\n" + LENGTH + "hi"},
            {"version 1.0", "HTTP/1.0 200 OK\r\n" + LENGTH + "hi"},
            {"reason beyond ASCII", "HTTP/1.1 200 d\u00e9j\u00e0\tvu\r\n" + LENGTH + "hi"},
            {"status 599", "HTTP/1.1 599 A\r\n" + LENGTH + "hi"},
            {"all characters of a name", HEAD + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + LENGTH + "hi"},
            {"value without blanks", HEAD + "A:a\r\nContent-Length:2\r\n\r\nhi"},
            {"blanks around a value", HEAD + "A: \t a \t\r\nContent-Length: \t2\t \r\n\r\nhi"},
            {"empty value", HEAD + "A:\r\n" + LENGTH + "hi"},
            {"value beyond ASCII", HEAD + "A: \u00e9\tb\r\n" + LENGTH + "hi"},
            {"zeros before a length", HEAD + "Content-Length: 0002\r\n\r\nhi"},
            {
                "interim heads",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 A\r\nB: b\r\n\r\n" + HEAD + LENGTH + "hi"
            },
            {"chunks", CHUNKED + "1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"},
            {"zeros before a size", CHUNKED + "00000002\r\nhi\r\n000\r\n\r\n"},
            {"extensions", CHUNKED + "2;a;b=c;d=\"e f\"\r\nhi\r\n0;a\r\n\r\n"},
            {"trailers", CHUNKED + "2\r\nhi\r\n0\r\nA: a\r\nB:\r\n\r\n"},
            {
                "coding in upper case",
                HEAD + "Transfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
            },
            {"body that ends with the connection", HEAD + "\r\nhi"},
            {"version 1.0 without length", "HTTP/1.0 200 OK\r\n\r\nhi"},
        };
    }

    /** A response that the protocol allows is received whole. */
    @Test(dataProvider = "validResponses")
    public void validResponseIsReceived(String name, String response) {
        mServer.respond(response);
        ClientResponse received = fetch().join();
        assertEquals(received.body().toString(StandardCharsets.ISO_8859_1), "hi", name);
    }

    @DataProvider
    public Object[][] responsesWithoutBody() {
        return new Object[][] {
            {"204", HttpMethod.GET, "HTTP/1.1 204 No Content\r\n\r\n", 204},
            {"204 of length 0", HttpMethod.GET, "HTTP/1.1 204 A\r\nContent-Length: 0\r\n\r\n", 204},
            {"304 with a length", HttpMethod.GET, "HTTP/1.1 304 A\r\n" + LENGTH, 304},
            {"HEAD with a length", HttpMethod.HEAD, HEAD + LENGTH, 200},
            {"HEAD with chunks", HttpMethod.HEAD, CHUNKED, 200},
            {"HEAD without a length", HttpMethod.HEAD, HEAD + "\r\n", 200},
        };
    }

    /** A response without a body ends with its head. */
    @Test(dataProvider = "responsesWithoutBody")
    public void responseWithoutBodyIsReceived(
            String name, HttpMethod method, String response, int status) {
        mServer.respond(response);
        ClientResponse received = fetch(method).join();
        assertEquals(received.status(), status, name);
        assertEquals(received.body().readableBytes(), 0, name);
    }

    private void assertFails(String name, String response) {
        mServer.respond(response);
        CompletableFuture<ClientResponse> received = fetch();
        assertThrows(CompletionException.class, () -> describe(name, received.join()));
    }

    /** Fails with what was received as an answer. */
    private static void describe(String name, ClientResponse received) {
        throw new AssertionError(
                name
                        + ": "
                        + received.status()
                        + " "
                        + received.headers()
                        + " "
                        + received.body().toString(StandardCharsets.ISO_8859_1));
    }

    private CompletableFuture<ClientResponse> fetch() {
        return fetch(HttpMethod.GET);
    }

    private CompletableFuture<ClientResponse> fetch(HttpMethod method) {
        return mClient.fetch(
                mServer.address(),
                method,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                TIME_LIMIT);
    }
}
