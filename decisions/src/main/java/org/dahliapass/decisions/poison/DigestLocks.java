package org.dahliapass.decisions.poison;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import org.dahliapass.model.RequestDigest;

/**
 * Locks per request digest, which keep identical suspected requests from running at several targets
 * concurrently.
 *
 * <p>Not thread-safe; confined to the traffic thread.
 */
public final class DigestLocks {
    /** Limits the waiting requests of all digests, since each holds its body in memory. */
    private static final int MAX_WAITERS = 256;

    private final Set<RequestDigest> mHeld = new HashSet<>();
    private final Map<RequestDigest, Queue<Runnable>> mWaiters = new HashMap<>();
    private int mWaiterCount;

    /** Returns whether an identical request is at a target. */
    public boolean isHeld(RequestDigest digest) {
        return mHeld.contains(digest);
    }

    /** Acquires the lock of a digest, which must be released. */
    public void acquire(RequestDigest digest) {
        mHeld.add(digest);
    }

    /**
     * Registers a callback for the release of the lock.
     *
     * @param callback checks again how the request may be treated
     * @return false if too many requests wait
     */
    public boolean addWaiter(RequestDigest digest, Runnable callback) {
        if (mWaiterCount >= MAX_WAITERS) {
            return false;
        }
        mWaiterCount++;
        mWaiters.computeIfAbsent(digest, unused -> new ArrayDeque<>()).add(callback);
        return true;
    }

    /** Releases the lock and runs all callbacks, since the request may no longer be suspected. */
    public void release(RequestDigest digest) {
        mHeld.remove(digest);
        Queue<Runnable> waiters = mWaiters.remove(digest);
        if (waiters != null) {
            mWaiterCount -= waiters.size();
            waiters.forEach(Runnable::run);
        }
    }
}
