package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.kernel.OperationException;

/**
 * Breaks off answers that have begun and make no progress any more.
 *
 * <p>Guards against a target that stalls in the middle of a body; it would show as a caller that
 * waits for ever and a slot that is never free. One sweep over the answers in flight does it: a
 * timer for each request, moved with each piece, outlives short requests and keeps all they hold.
 */
final class StalledResponseMonitor {
    private final Clock mClock;
    private final Set<WatchedResponse> mWatched = ConcurrentHashMap.newKeySet();

    StalledResponseMonitor(Clock clock) {
        mClock = clock;
    }

    /** An answer that is watched until it is done. */
    static final class WatchedResponse {
        private final HttpResponse mResponse;
        private final long mStallMillis;
        private final Clock mClock;
        private volatile long mProgressMillis;

        private WatchedResponse(HttpResponse response, long stallMillis, Clock clock) {
            mResponse = response;
            mStallMillis = stallMillis;
            mClock = clock;
            onProgress();
        }

        private boolean hasStalled(long nowMillis) {
            return nowMillis - mProgressMillis > mStallMillis;
        }

        /** Notes that a piece has gone on to the caller. */
        void onProgress() {
            mProgressMillis = mClock.millis();
        }
    }

    /** Watches an answer; it may pause for as long as {@code stall}. */
    WatchedResponse watch(HttpResponse response, Duration stall) {
        WatchedResponse watched = new WatchedResponse(response, stall.toMillis(), mClock);
        mWatched.add(watched);
        return watched;
    }

    /** Ends watching an answer that is done. */
    void unwatch(WatchedResponse watched) {
        mWatched.remove(watched);
    }

    /** Breaks off what has stalled; called about once a second. */
    void abortStalled() {
        long now = mClock.millis();
        List<WatchedResponse> stalled =
                mWatched.stream().filter(watched -> watched.hasStalled(now)).toList();
        for (WatchedResponse watched : stalled) {
            unwatch(watched);
            watched.mResponse.abort(stallFailure());
        }
    }

    /**
     * A cause of its own: a plain abort would look like the caller's doing, no fault of a target.
     */
    private static OperationException stallFailure() {
        return new OperationException(
                "receive body", "target", "It made no progress for too long.");
    }

    /** Returns how many answers are watched. */
    int size() {
        return mWatched.size();
    }
}
