package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.kernel.ManualClock;

/** A server connection without a network; the test acts as its client and handler. */
final class ServerFixture {
    static final ServerTimeouts TIMEOUTS =
            new ServerTimeouts(
                    Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(15));

    final ManualClock mClock;
    final List<ServerCall> mCalls = new ArrayList<>();
    final ServerConnection mConnection;
    final EmbeddedChannel mChannel;

    /** Records each request; the test responds to it. */
    ServerFixture() {
        this(call -> {});
    }

    /** Records each request and passes it to a handler. */
    ServerFixture(RequestHandler handler) {
        this(new ManualClock(Instant.ofEpochSecond(1_000)), handler);
    }

    /** Records each request of a connection on a monitored event loop. */
    ServerFixture(ManualClock clock, PollMonitor monitor) {
        this(clock, monitor, call -> {});
    }

    private ServerFixture(ManualClock clock, RequestHandler handler) {
        this(clock, new PollMonitor(clock), handler);
    }

    /** Records each request of a connection that allows pipelining and passes it to a handler. */
    ServerFixture(PipelineLimits limits, PipelineListener listener, RequestHandler handler) {
        this(new ManualClock(Instant.ofEpochSecond(1_000)), limits, listener, handler);
    }

    private ServerFixture(ManualClock clock, PollMonitor monitor, RequestHandler handler) {
        this(clock, monitor, PipelineLimits.SEQUENTIAL, PipelineListener.NONE, handler);
    }

    private ServerFixture(
            ManualClock clock,
            PipelineLimits limits,
            PipelineListener listener,
            RequestHandler handler) {
        this(clock, new PollMonitor(clock), limits, listener, handler);
    }

    private ServerFixture(
            ManualClock clock,
            PollMonitor monitor,
            PipelineLimits limits,
            PipelineListener listener,
            RequestHandler handler) {
        mClock = clock;
        mConnection =
                new ServerConnection(
                        call -> {
                            mCalls.add(call);
                            handler.onRequest(call);
                        },
                        mClock,
                        monitor,
                        limits,
                        listener,
                        new IdleConnections(),
                        new LingeringConnections());
        mChannel = new EmbeddedChannel(mConnection.handlers());
    }

    /** Sends text from the client, with each line feed replaced by CR LF. */
    void send(String text) {
        sendBytes(text.replace("\n", "\r\n"));
    }

    /** Sends bytes from the client unchanged; does nothing if the connection is closed. */
    void sendBytes(String bytes) {
        if (!mChannel.isActive()) {
            return;
        }
        mChannel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Returns what the client has received since the last call. */
    String received() {
        StringBuilder text = new StringBuilder();
        ByteBuf bytes = mChannel.readOutbound();
        while (bytes != null) {
            text.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
            bytes = mChannel.readOutbound();
        }
        return text.toString();
    }

    /** Advances the clock and checks the connection's timeouts. */
    void advanceTime(Duration time) {
        mClock.advance(time);
        mConnection.closeIfTimedOut(TIMEOUTS);
    }

    static ServerResponse response(String text) {
        return ServerResponse.text(
                io.netty.handler.codec.http.HttpResponseStatus.OK,
                text.getBytes(StandardCharsets.UTF_8));
    }
}
