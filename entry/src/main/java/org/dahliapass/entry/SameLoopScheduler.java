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
 * Sends a request to a target on the event loop that serves its caller.
 *
 * <p>A request that is sent on another loop waits twice until a thread wakes up, once on its way
 * and once on its answer's, which on a busy machine is most of what a VM adds.
 */
public final class SameLoopScheduler implements EventLoopScheduler {
    private final List<EventLoop> mLoops = new ArrayList<>();

    /** Takes the loops that serve callers. */
    public SameLoopScheduler(EventLoopGroup group) {
        for (EventExecutor executor : group) {
            mLoops.add((EventLoop) executor);
        }
    }

    /** A loop that is lent without a count of its users. */
    private record UncountedHolder(EventLoop loop) implements ReleasableHolder<EventLoop> {
        @Override
        public EventLoop get() {
            return loop;
        }

        @Override
        public void release() {}
    }

    /** Returns this thread's own loop; on any other thread always the same one for an endpoint. */
    @Override
    public ReleasableHolder<EventLoop> acquire(
            SessionProtocol protocol, EndpointGroup endpoints, Endpoint endpoint) {
        for (EventLoop loop : mLoops) {
            if (loop.inEventLoop()) {
                return new UncountedHolder(loop);
            }
        }
        int place = Math.floorMod(Objects.hashCode(endpoint), mLoops.size());
        return new UncountedHolder(mLoops.get(place));
    }
}
