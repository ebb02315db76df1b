package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dahliapass.decisions.traffic.ThreadBacklog;

/**
 * Starts the requests that were read, in short slices between the polls of the event loop.
 *
 * <p>Guards against an event loop that starts so many requests at once that it notices responses of
 * targets and disconnections of callers too late. Confined to the traffic thread.
 */
final class RequestStarter {
    /** The time after which the event loop polls before more requests are started. */
    private static final long SLICE_MILLIS = 20;

    private final Clock mClock;
    private final ThreadBacklog<Runnable> mBacklog = new ThreadBacklog<>();
    private boolean mScheduled;

    RequestStarter(Clock clock) {
        mClock = clock;
    }

    /** Starts a request after all that were added before. */
    void add(EventLoop loop, Runnable start) {
        mBacklog.add(start);
        if (!mScheduled) {
            mScheduled = true;
            loop.execute(() -> startRequests(loop));
        }
    }

    /** Returns the requests that wait to be started. */
    ThreadBacklog<Runnable> backlog() {
        return mBacklog;
    }

    private void startRequests(EventLoop loop) {
        try {
            startSlice();
        } finally {
            // Also after an exception, which must not keep later requests from being started.
            mScheduled = mBacklog.size() > 0;
            if (mScheduled) {
                // A scheduled task runs after the next poll, an executed one before it.
                ScheduledFuture<?> unused =
                        loop.schedule(() -> startRequests(loop), 0, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Starts requests until none is left or the time of the slice is over. */
    private void startSlice() {
        long now = mClock.millis();
        long endMillis = now + SLICE_MILLIS;
        Optional<Runnable> next = mBacklog.next(now);
        while (next.isPresent()) {
            next.get().run();
            now = mClock.millis();
            if (now >= endMillis) {
                return;
            }
            next = mBacklog.next(now);
        }
    }
}
