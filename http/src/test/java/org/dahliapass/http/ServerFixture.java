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

/** One connection of a server without a network; the test is its client and its handler. */
final class ServerFixture {
    static final ServerTimeouts LIMITS =
            new ServerTimeouts(
                    Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(15));

    final ManualClock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    final List<ServerCall> mCalls = new ArrayList<>();
    final ServerConnection mConnection;
    final EmbeddedChannel mChannel;

    /** Notes each request; the test answers it. */
    ServerFixture() {
        this(call -> {});
    }

    /** Notes each request and hands it on. */
    ServerFixture(RequestHandler handler) {
        mConnection =
                new ServerConnection(
                        call -> {
                            mCalls.add(call);
                            handler.onRequest(call);
                        },
                        mClock);
        mChannel = new EmbeddedChannel(mConnection.codec(), mConnection);
    }

    /** Sends what a client sends, a line end for each line feed. */
    void send(String text) {
        sendRaw(text.replace("\n", "\r\n"));
    }

    /** Sends bytes as they are; after the connection's close they reach nobody. */
    void sendRaw(String bytes) {
        if (!mChannel.isActive()) {
            return;
        }
        mChannel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Returns what the client got since the last call. */
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

    /** Lets time pass and has the connection looked at. */
    void pass(Duration time) {
        mClock.advance(time);
        mConnection.closeIfTimedOut(LIMITS);
    }

    static ServerResponse answer(String text) {
        return ServerResponse.text(
                io.netty.handler.codec.http.HttpResponseStatus.OK,
                text.getBytes(StandardCharsets.UTF_8));
    }
}
