package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.http.EventLoops;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.KernelService;

/** Holds the traffic thread and the HTTP client that sends to targets and to the platform. */
public final class TargetConnections implements KernelService {
    /** The name under which the kernel holds the connections. */
    public static final String NAME = "target-connections";

    /** Well over a round trip within a region; a target that is gone doesn't answer at all. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Under half of the shortest time after which targets close idle connections, 10 seconds. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(4);

    private final EventLoopGroup mLoops = EventLoops.singleThreaded("traffic");
    private final HttpClient mClient;

    TargetConnections(Clock clock) {
        mClient = new HttpClient(mLoops, clock, CONNECT_TIMEOUT, IDLE_TIMEOUT);
    }

    /** Returns the traffic thread as a group of one. */
    EventLoopGroup loops() {
        return mLoops;
    }

    /** Returns the traffic thread. */
    EventLoop loop() {
        return mClient.loop();
    }

    /** Returns the client that owns all connections to targets and to the platform. */
    HttpClient client() {
        return mClient;
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        return mClient.stop()
                .thenCompose(
                        ignored -> {
                            mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                                    .addListener(done -> stopped.complete(null));
                            return stopped;
                        });
    }
}
