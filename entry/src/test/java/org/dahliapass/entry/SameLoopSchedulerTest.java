package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link SameLoopScheduler}. */
public class SameLoopSchedulerTest {
    private EventLoopGroup mGroup;
    private SameLoopScheduler mScheduler;

    @BeforeMethod
    public void start() {
        mGroup = EventLoopGroups.newEventLoopGroup(3, "test");
        mScheduler = new SameLoopScheduler(mGroup);
    }

    @AfterMethod
    public void stop() {
        var unused = mGroup.shutdownGracefully();
    }

    private EventLoop acquire(int port) {
        Endpoint endpoint = Endpoint.of("127.0.0.1", port);
        return mScheduler.acquire(SessionProtocol.H1C, endpoint, endpoint).get();
    }

    @Test
    public void eventLoopAcquiresItself() throws Exception {
        Set<EventLoop> seen = new HashSet<>();
        for (EventExecutor executor : mGroup) {
            EventLoop acquired = executor.submit(() -> acquire(80)).get();
            assertSame(acquired, executor);
            seen.add(acquired);
        }
        assertEquals(seen.size(), 3);
    }

    @Test
    public void otherThreadAcquiresSameLoopForSameEndpoint() {
        assertSame(acquire(80), acquire(80));
    }

    @Test
    public void otherThreadDistributesEndpointsOverAllLoops() {
        Set<EventLoop> seen = new HashSet<>();
        for (int port = 1; port <= 100; port++) {
            seen.add(acquire(port));
        }
        assertEquals(seen.size(), 3);
    }
}
