package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.http.EventLoops;
import org.dahliapass.http.HttpClient;
import org.dahliapass.http.PollMonitor;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.traffic.EntryMetrics;

/** The traffic thread with the HTTP client for targets and the platform. */
public final class TargetConnections implements KernelService {
    /** The service name in the kernel. */
    public static final String NAME = "target-connections";

    /** Exceeds the round-trip time within a region; a failed target does not respond at all. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Less than half of the shortest idle timeout of targets, which is 10 s. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(4);

    private final PollMonitor mMonitor;
    private final EventLoopGroup mLoops;
    private final HttpClient mClient;
    private final TargetReachability mReachability;
    private final UnexpectedFailures mFailures;
    private final RequestMemory mMemory;

    TargetConnections(Clock clock, EntryMetrics metrics, EventLog log, RequestMemory memory) {
        mMemory = memory;
        mMonitor = new PollMonitor(clock);
        mLoops = EventLoops.singleThreaded("traffic", mMonitor);
        mClient = new HttpClient(mLoops, clock, CONNECT_TIMEOUT, IDLE_TIMEOUT);
        mFailures = new UnexpectedFailures(log, metrics);
        mReachability = new TargetReachability(clock, metrics, log, mClient, mFailures);
    }

    /** Returns the traffic thread as an event loop group. */
    EventLoopGroup loops() {
        return mLoops;
    }

    /** Returns the monitor of the traffic thread's polls; to be read on that thread only. */
    PollMonitor monitor() {
        return mMonitor;
    }

    /** Returns the event loop of the traffic thread. */
    EventLoop loop() {
        return mClient.loop();
    }

    /** Returns the client with all connections to targets and the platform. */
    HttpClient client() {
        return mClient;
    }

    /** Returns what this VM knows of the targets that it reaches. */
    TargetReachability reachability() {
        return mReachability;
    }

    /** Returns the account of the memory that requests hold. */
    RequestMemory memory() {
        return mMemory;
    }

    /** Returns the record of unexpected exceptions. */
    UnexpectedFailures failures() {
        return mFailures;
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
