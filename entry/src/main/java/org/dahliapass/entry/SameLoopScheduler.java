package org.dahliapass.entry;

import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.EventLoopScheduler;
import com.linecorp.armeria.client.endpoint.EndpointGroup;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.util.ReleasableHolder;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * An event loop scheduler that sends each request on the event loop that serves its caller.
 *
 * <p>Avoids two thread hand-offs per request, one for the request and one for the response.
 */
public final class SameLoopScheduler implements EventLoopScheduler {
    private final List<EventLoop> mLoops = new ArrayList<>();

    /** Creates a scheduler for the event loops that serve callers. */
    public SameLoopScheduler(EventLoopGroup group) {
        for (EventExecutor executor : group) {
            mLoops.add((EventLoop) executor);
        }
    }

    /** A holder without usage counting. */
    private record UncountedHolder(EventLoop loop) implements ReleasableHolder<EventLoop> {
        @Override
        public EventLoop get() {
            return loop;
        }

        @Override
        public void release() {}
    }

    /** Returns the current event loop, or a fixed one per endpoint on any other thread. */
    @Override
    public ReleasableHolder<EventLoop> acquire(
            SessionProtocol protocol, EndpointGroup endpoints, Endpoint endpoint) {
        for (EventLoop loop : mLoops) {
            if (loop.inEventLoop()) {
                return new UncountedHolder(loop);
            }
        }
        int index = Math.floorMod(Objects.hashCode(endpoint), mLoops.size());
        return new UncountedHolder(mLoops.get(index));
    }
}
