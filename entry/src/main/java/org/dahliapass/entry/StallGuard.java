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
final class StallGuard {
    private final Clock mClock;
    private final Set<Watched> mWatched = ConcurrentHashMap.newKeySet();

    StallGuard(Clock clock) {
        mClock = clock;
    }

    /** An answer that is watched until it is done. */
    static final class Watched {
        private final HttpResponse mResponse;
        private final long mStallMillis;
        private final Clock mClock;
        private volatile long mProgressMillis;

        private Watched(HttpResponse response, long stallMillis, Clock clock) {
            mResponse = response;
            mStallMillis = stallMillis;
            mClock = clock;
            progress();
        }

        private boolean hasStalled(long nowMillis) {
            return nowMillis - mProgressMillis > mStallMillis;
        }

        /** Notes that a piece has gone on to the caller. */
        void progress() {
            mProgressMillis = mClock.millis();
        }
    }

    /** Watches an answer; it may pause for as long as {@code stall}. */
    Watched watch(HttpResponse response, Duration stall) {
        Watched watched = new Watched(response, stall.toMillis(), mClock);
        mWatched.add(watched);
        return watched;
    }

    /** Ends watching an answer that is done. */
    void done(Watched watched) {
        mWatched.remove(watched);
    }

    /** Breaks off what has stalled; called about once a second. */
    void sweep() {
        long now = mClock.millis();
        List<Watched> stalled =
                mWatched.stream().filter(watched -> watched.hasStalled(now)).toList();
        for (Watched watched : stalled) {
            done(watched);
            watched.mResponse.abort(stalled());
        }
    }

    /**
     * A cause of its own: a plain abort would look like the caller's doing, no fault of a target.
     */
    private static OperationException stalled() {
        return new OperationException(
                "receive body", "target", "It made no progress for too long.");
    }

    /** Returns how many answers are watched. */
    int size() {
        return mWatched.size();
    }
}
