package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ClientConnection}; the test is the server. */
public final class ClientConnectionTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    private List<ClientConnection> mFree;
    private List<String> mSeen;
    private ClientConnection mConnection;
    private EmbeddedChannel mChannel;
    private ClientCall mCall;

    @BeforeMethod
    public void send() {
        mFree = new ArrayList<>();
        mSeen = new ArrayList<>();
        mConnection = new ClientConnection(mFree::add);
        mChannel = new EmbeddedChannel(mConnection.guard(), mConnection.codec(), mConnection);
        mCall =
                new ClientCall(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().set("host", "a"),
                        Unpooled.EMPTY_BUFFER,
                        new Noting());
        mConnection.send(mCall);
    }

    private final class Noting implements ResponseListener {
        @Override
        public void onHead(HttpResponse head) {
            mSeen.add("head " + head.status().code());
        }

        @Override
        public void onData(ByteBuf piece) {
            mSeen.add(piece.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(HttpHeaders trailers) {
            mSeen.add("end");
        }

        @Override
        public void onFailure(Throwable failure) {
            mSeen.add("failed");
        }
    }

    @Test
    public void connectionIsFreeAfterAWholeAnswer() {
        answer(ANSWER);
        assertEquals(mSeen, List.of("head 200", "hi", "end"));
        assertEquals(mFree, List.of(mConnection));
    }

    /** The next request would get this second answer for its own. */
    @Test
    public void connectionWithMoreBehindTheAnswerIsClosed() {
        answer(ANSWER + ANSWER);
        assertEquals(mSeen, List.of("head 200", "hi", "end"));
        assertEquals(mFree, List.of());
        assertFalse(mChannel.isActive());
    }

    /** The same when the second answer comes once the connection is idle. */
    @Test
    public void idleConnectionThatIsSentAnythingIsClosed() {
        answer(ANSWER);
        answer("x");
        assertFalse(mChannel.isActive());
    }

    @Test
    public void connectionThatTheServerClosesIsNotKept() {
        answer(ANSWER.replace("Content", "Connection: close\r\nContent"));
        assertEquals(mFree, List.of());
    }

    @Test
    public void informationalHeadsAreLeftOut() {
        answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ANSWER);
        assertEquals(mSeen, List.of("head 200", "hi", "end"));
    }

    @Test
    public void answerWithoutALengthEndsWithItsConnection() {
        answer("HTTP/1.1 200 OK\r\n\r\nhi");
        mChannel.close().syncUninterruptibly();
        assertEquals(mSeen, List.of("head 200", "hi", "end"));
    }

    /** An extract would look whole and lack its end: a reset is no end. */
    @Test
    public void answerWithoutALengthThatIsResetFails() {
        answer("HTTP/1.1 200 OK\r\n\r\nhi");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertEquals(mSeen, List.of("head 200", "hi", "failed"));
    }

    @Test
    public void answerThatEndsEarlyFails() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi");
        mChannel.close().syncUninterruptibly();
        assertEquals(mSeen, List.of("head 200", "hi", "failed"));
    }

    /** Answers whose end can be told in two ways, or in none. */
    @DataProvider
    public Object[][] unframed() {
        return new Object[][] {
            {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
            {"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"},
            {"Transfer-Encoding: gzip\r\n\r\nhi"},
            {"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
            {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        };
    }

    /** Such an answer must not pass for a success, nor its rest for the next answer. */
    @Test(dataProvider = "unframed")
    public void answerWhoseEndCannotBeToldFails(String headersAndBody) {
        answer("HTTP/1.1 200 OK\r\n" + headersAndBody);
        assertEquals(mSeen, List.of("failed"));
        assertEquals(mFree, List.of());
        assertFalse(mChannel.isActive());
    }

    @Test
    public void bytesThatAreNoAnswerFail() {
        answer("\u0001\u0002 nonsense\r\n\r\n");
        assertEquals(mSeen, List.of("failed"));
        assertFalse(mChannel.isActive());
    }

    @Test
    public void abortedCallIsToldNothingAndItsConnectionCloses() {
        mCall.abort();
        assertEquals(mSeen, List.of());
        assertFalse(mChannel.isActive());
    }

    /** A request must not cross the close of a server that told how long it keeps connections. */
    @Test
    public void connectionIsStaleAfterHalfOfWhatTheServerKeepsIt() {
        answer(ANSWER.replace("Content", "Keep-Alive: timeout=4\r\nContent"));
        mConnection.setIdleSince(1_000);
        assertFalse(mConnection.isStale(2_900, 10_000));
        assertTrue(mConnection.isStale(3_000, 10_000));
    }

    private void answer(String bytes) {
        mChannel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
