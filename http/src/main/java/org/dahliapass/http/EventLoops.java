package org.dahliapass.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/** Makes the thread that serves connections. */
public final class EventLoops {
    static {
        // Guards against a logging library that sets itself up with Netty's first logger, which
        // takes 40 ms of the time of a start for lines that a healthy VM never writes.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private EventLoops() {}

    /**
     * Returns a group of one event loop: a small VM has one core, and one thread needs no locks.
     */
    public static EventLoopGroup singleThreaded(String name) {
        return new MultiThreadIoEventLoopGroup(
                1,
                work -> {
                    Thread thread = new Thread(work, name);
                    thread.setDaemon(true);
                    return thread;
                },
                NioIoHandler.newFactory());
    }
}
