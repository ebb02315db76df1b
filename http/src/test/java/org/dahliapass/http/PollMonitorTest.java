package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.time.Duration;
import java.time.Instant;
import org.dahliapass.kernel.ManualClock;
import org.testng.annotations.Test;

/** Tests of {@link PollMonitor}. */
public final class PollMonitorTest {
    private final ManualClock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    private final PollMonitor mMonitor = new PollMonitor(mClock);
    private final WaitingHandler mHandler = new WaitingHandler();
    private final IoHandler mMonitored = mMonitor.monitor(executor -> mHandler).newHandler(null);

    /** What one poll returns may have been ready since right after the poll before. */
    @Test
    public void eventsOfABusyLoopMayHaveWaitedSinceThePollBefore() {
        poll(0);
        advance(700);
        poll(0);
        advance(20);
        assertEquals(mMonitor.maxReadyMillis(), 720);
        assertEquals(mMonitor.takeLongestIntervalMillis(), 700);
        assertEquals(mMonitor.takeLongestIntervalMillis(), 0);
    }

    /** A loop that waits for events returns at the first one. */
    @Test
    public void eventThatTheLoopWaitedForWasJustReady() {
        poll(0);
        poll(5_000);
        advance(3);
        assertEquals(mMonitor.maxReadyMillis(), 3);
        poll(0);
        assertEquals(mMonitor.takeLongestIntervalMillis(), 3);
    }

    /**
     * Guards against a deadline that is extended by the time in which a request lay unread, and
     * which its target would be told.
     */
    @Test
    public void requestArrivesWhenThePollReturnsItHoweverLateItIsRead() {
        long start = mClock.millis();
        poll(0);
        ServerFixture server = new ServerFixture(mClock, mMonitor);
        advance(500);
        poll(0);
        advance(200);
        server.send("GET /1 HTTP/1.1\nHost: a\n\n");
        server.mCalls.get(0).respond(ServerFixture.response("x"));
        poll(0);
        advance(70);
        server.send("GET /2 HTTP/1.1\nHost: a\n\n");
        assertEquals(server.mCalls.get(0).receiveTimes().arrivalMillis(), start);
        assertEquals(server.mCalls.get(1).receiveTimes().arrivalMillis(), start + 700);
    }

    /** A client may keep a new connection idle before its first request. */
    @Test
    public void firstRequestOfAnIdleConnectionArrivesWithItsOwnPoll() {
        long start = mClock.millis();
        poll(0);
        ServerFixture server = new ServerFixture(mClock, mMonitor);
        advance(1);
        poll(0);
        poll(2_000);
        advance(30);
        server.send("GET /1 HTTP/1.1\nHost: a\n\n");
        assertEquals(server.mCalls.get(0).receiveTimes().arrivalMillis(), start + 2_001);
    }

    private void poll(int waitMillis) {
        mHandler.mWaitMillis = waitMillis;
        int handled = mMonitored.run(null);
        assertEquals(handled, 0);
    }

    private void advance(int millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /** A handler that waits for a given time and returns no events. */
    private final class WaitingHandler implements IoHandler {
        private int mWaitMillis;

        @Override
        public int run(IoHandlerContext context) {
            advance(mWaitMillis);
            return 0;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("No channel is registered in these tests.");
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return true;
        }
    }
}
