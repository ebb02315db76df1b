package org.dahliapass.http;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import java.nio.channels.SelectableChannel;
import java.time.Clock;

/**
 * Measures when an event loop polls for I/O.
 *
 * <p>Between two polls, requests and closes of clients wait in socket buffers, where nothing tells
 * since when. The times of the polls bound their wait: whatever one poll returns was not ready at
 * the poll before, unless the loop was waiting for it.
 *
 * <p>Confined to the event loop.
 */
public final class PollMonitor {
    private final Clock mClock;
    private long mStartMillis;
    private long mReturnMillis;
    private long mPreviousReturnMillis;
    private long mLongestIntervalMillis;
    private boolean mPolling;

    /**
     * Creates a monitor.
     *
     * @param clock the clock of the times
     */
    public PollMonitor(Clock clock) {
        mClock = clock;
        mStartMillis = clock.millis();
        mReturnMillis = mStartMillis;
        mPreviousReturnMillis = mStartMillis;
    }

    /**
     * Returns how long at most anything that the latest poll returned has been ready, in
     * milliseconds.
     */
    public long maxReadyMillis() {
        boolean waited = mReturnMillis > mStartMillis;
        return mClock.millis() - (waited ? mReturnMillis : mPreviousReturnMillis);
    }

    /**
     * Returns when the latest poll returned, in milliseconds. All that it returned was ready then,
     * however late it is handled.
     */
    long latestPollMillis() {
        return mReturnMillis;
    }

    /** Returns when the poll before the latest one returned, in milliseconds. */
    long previousPollMillis() {
        return mPreviousReturnMillis;
    }

    /**
     * Returns the longest time between two polls since the last call, in milliseconds, without the
     * time that the loop waited for events.
     */
    public long takeLongestIntervalMillis() {
        long longest = mLongestIntervalMillis;
        mLongestIntervalMillis = 0;
        return longest;
    }

    /** Returns a factory of handlers whose polls are recorded here. */
    IoHandlerFactory monitor(IoHandlerFactory factory) {
        return executor -> new MonitoredHandler(factory.newHandler(executor));
    }

    private void onPollStart() {
        mPolling = true;
        mStartMillis = mClock.millis();
        mLongestIntervalMillis = Math.max(mLongestIntervalMillis, mStartMillis - mReturnMillis);
    }

    /** Records that the poll has returned, at its first event or, without events, at its end. */
    private void onPollReturn() {
        if (!mPolling) {
            return;
        }
        mPolling = false;
        mPreviousReturnMillis = mReturnMillis;
        mReturnMillis = mClock.millis();
    }

    private final class MonitoredHandler implements IoHandler {
        private final IoHandler mHandler;

        private MonitoredHandler(IoHandler handler) {
            mHandler = handler;
        }

        @Override
        public void initialize() {
            mHandler.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            onPollStart();
            int handled = mHandler.run(context);
            onPollReturn();
            return handled;
        }

        @Override
        public void prepareToDestroy() {
            mHandler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            mHandler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return mHandler.register(new MonitoredHandle((NioIoHandle) handle));
        }

        @Override
        public void wakeup() {
            mHandler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return mHandler.isCompatible(handleType);
        }
    }

    @SuppressWarnings("try") // The signature of close is that of IoHandle.
    private final class MonitoredHandle implements NioIoHandle {
        private final NioIoHandle mHandle;

        private MonitoredHandle(NioIoHandle handle) {
            mHandle = handle;
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            onPollReturn();
            mHandle.handle(registration, event);
        }

        @Override
        public SelectableChannel selectableChannel() {
            return mHandle.selectableChannel();
        }

        @Override
        public void close() throws Exception {
            mHandle.close();
        }
    }
}
