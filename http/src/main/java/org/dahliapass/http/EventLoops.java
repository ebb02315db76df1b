package org.dahliapass.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/** A factory of event loop groups. */
public final class EventLoops {
    static {
        // Loading a logging library together with Netty's first logger slows down startup.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private EventLoops() {}

    /**
     * Returns a group with a single event loop on a daemon thread.
     *
     * @param name the thread's name
     */
    public static EventLoopGroup singleThreaded(String name) {
        return singleThreaded(name, NioIoHandler.newFactory());
    }

    /**
     * Returns a group with a single event loop on a daemon thread.
     *
     * @param name the thread's name
     * @param monitor records the polls of the event loop
     */
    public static EventLoopGroup singleThreaded(String name, PollMonitor monitor) {
        return singleThreaded(name, monitor.monitor(NioIoHandler.newFactory()));
    }

    private static EventLoopGroup singleThreaded(String name, IoHandlerFactory factory) {
        return new MultiThreadIoEventLoopGroup(
                1,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                },
                factory);
    }
}
