package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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

/** Tests of {@link ClientConnection}; the test acts as the server. */
public final class ClientConnectionTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    private List<ClientConnection> mIdle;
    private List<String> mEvents;
    private ClientConnection mConnection;
    private EmbeddedChannel mChannel;
    private ClientCall mCall;

    @BeforeMethod
    public void send() {
        mIdle = new ArrayList<>();
        mEvents = new ArrayList<>();
        mConnection = new ClientConnection(mIdle::add);
        mChannel =
                new EmbeddedChannel(
                        new OrderlyEndHandler(),
                        new ResponseValidationHandler(),
                        mConnection.codec(),
                        mConnection);
        mCall =
                new ClientCall(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().set("host", "a"),
                        Unpooled.EMPTY_BUFFER,
                        new UsedConnections(),
                        new RecordingListener());
        mConnection.send(mCall);
    }

    private final class RecordingListener implements ResponseListener {
        @Override
        public void onHead(HttpResponse head) {
            mEvents.add("head " + head.status().code());
        }

        @Override
        public void onData(ByteBuf chunk) {
            mEvents.add(chunk.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(HttpHeaders trailers) {
            mEvents.add("end");
        }

        @Override
        public void onFailure(Throwable failure) {
            mEvents.add("failed");
        }
    }

    @Test
    public void connectionIsIdleAfterACompleteResponse() {
        receive(RESPONSE);
        assertEquals(mEvents, List.of("head 200", "hi", "end"));
        assertEquals(mIdle, List.of(mConnection));
    }

    /** The second response must not be attributed to the next request. */
    @Test
    public void connectionWithBytesAfterTheResponseIsClosed() {
        receive(RESPONSE + RESPONSE);
        assertEquals(mEvents, List.of("head 200", "hi", "end"));
        assertEquals(mIdle, List.of());
        assertFalse(mChannel.isActive());
    }

    /** The second response arrives when the connection is idle. */
    @Test
    public void idleConnectionIsClosedOnUnexpectedBytes() {
        receive(RESPONSE);
        receive("x");
        assertFalse(mChannel.isActive());
    }

    @Test
    public void connectionIsNotReusedAfterConnectionClose() {
        receive(RESPONSE.replace("Content", "Connection: close\r\nContent"));
        assertEquals(mIdle, List.of());
    }

    @Test
    public void informationalResponsesAreSkipped() {
        receive(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        + RESPONSE);
        assertEquals(mEvents, List.of("head 200", "hi", "end"));
    }

    @Test
    public void responseWithoutLengthEndsWhenTheServerEndsTheConnection() {
        receive("HTTP/1.1 200 OK\r\n\r\nhi");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertEquals(mEvents, List.of("head 200", "hi", "end"));
        assertFalse(mChannel.isActive());
    }

    /** A response that this side cuts off must not look complete. */
    @Test
    public void responseWithoutLengthFailsWhenThisSideCloses() {
        receive("HTTP/1.1 200 OK\r\n\r\nhi");
        mChannel.close().syncUninterruptibly();
        assertEquals(mEvents, List.of("head 200", "hi", "failed"));
    }

    @Test
    public void responseInSingleBytesIsReceived() {
        String interim = "HTTP/1.1 103 A\r\nB: b\r\n\r\n";
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String response = interim + head + "2;a=b\r\nhi\r\n0\r\nC: c\r\n\r\n";
        response.chars().forEach(character -> receive(String.valueOf((char) character)));
        assertEquals(String.join("", mEvents), "head 200hiend");
        assertEquals(mIdle, List.of(mConnection));
    }

    /** A truncated response must not look complete. */
    @Test
    public void responseWithoutLengthFailsOnReset() {
        receive("HTTP/1.1 200 OK\r\n\r\nhi");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertEquals(mEvents, List.of("head 200", "hi", "failed"));
    }

    @Test
    public void truncatedResponseFails() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi");
        mChannel.close().syncUninterruptibly();
        assertEquals(mEvents, List.of("head 200", "hi", "failed"));
    }

    /** Responses whose end is ambiguous or unknown. */
    @DataProvider
    public Object[][] ambiguouslyFramed() {
        return new Object[][] {
            {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
            {"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"},
            {"Transfer-Encoding: gzip\r\n\r\nhi"},
            {"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
            {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        };
    }

    /** Neither the response nor the bytes after it may be accepted. */
    @Test(dataProvider = "ambiguouslyFramed")
    public void responseWithAmbiguousFramingFails(String headersAndBody) {
        receive("HTTP/1.1 200 OK\r\n" + headersAndBody);
        assertEquals(mEvents, List.of("failed"));
        assertEquals(mIdle, List.of());
        assertFalse(mChannel.isActive());
    }

    @Test
    public void malformedResponseFails() {
        receive("\u0001\u0002 nonsense\r\n\r\n");
        assertEquals(mEvents, List.of("failed"));
        assertFalse(mChannel.isActive());
    }

    @Test
    public void abortedCallClosesItsConnectionWithoutCallbacks() {
        mCall.abort();
        assertEquals(mEvents, List.of());
        assertFalse(mChannel.isActive());
    }

    /** A request must not race with the server's close after its advertised idle timeout. */
    @Test
    public void connectionIsStaleAfterHalfOfTheServersKeepAliveTimeout() {
        receive(RESPONSE.replace("Content", "Keep-Alive: timeout=4\r\nContent"));
        mConnection.setIdleSince(1_000);
        assertFalse(mConnection.isStale(2_900, 10_000));
        assertTrue(mConnection.isStale(3_000, 10_000));
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
