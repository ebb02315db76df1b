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
