package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.kernel.OperationException;

/**
 * A monitor that aborts responses whose body makes no progress.
 *
 * <p>Without it, a target that stalls in the middle of a body would block the caller and occupy a
 * slot forever. A periodic sweep is used because a timer per request would keep each short request
 * in memory until the timer expires. Thread-safe.
 */
final class StalledResponseMonitor {
    private final Clock mClock;
    private final Set<WatchedResponse> mWatched = ConcurrentHashMap.newKeySet();

    StalledResponseMonitor(Clock clock) {
        mClock = clock;
    }

    /** A response that is monitored until it completes. */
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

        /** Records that data was relayed to the caller. */
        void onProgress() {
            mProgressMillis = mClock.millis();
        }
    }

    /** Starts monitoring a response, which may pause for up to {@code stallTimeout}. */
    WatchedResponse watch(HttpResponse response, Duration stallTimeout) {
        WatchedResponse watched = new WatchedResponse(response, stallTimeout.toMillis(), mClock);
        mWatched.add(watched);
        return watched;
    }

    /** Stops monitoring a response. */
    void unwatch(WatchedResponse watched) {
        mWatched.remove(watched);
    }

    /** Aborts the stalled responses; called about once per second. */
    void abortStalled() {
        long now = mClock.millis();
        List<WatchedResponse> stalled =
                mWatched.stream().filter(watched -> watched.hasStalled(now)).toList();
        for (WatchedResponse watched : stalled) {
            unwatch(watched);
            watched.mResponse.abort(stallFailure());
        }
    }

    /** Tells a stall, which is the target's failure, apart from a cancellation by the caller. */
    private static OperationException stallFailure() {
        return new OperationException(
                "receive body",
                "target",
                "The response body made no progress within the stall timeout.");
    }

    /** Returns the number of monitored responses. */
    int size() {
        return mWatched.size();
    }
}
