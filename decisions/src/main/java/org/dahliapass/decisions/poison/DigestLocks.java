package org.dahliapass.decisions.poison;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import org.dahliapass.model.RequestDigest;

/**
 * Lets one request of those that are alike be at a target at a time, as long as they are suspected.
 *
 * <p>Not safe for use by several threads.
 */
public final class DigestLocks {
    /** Requests that wait for their turn, of all digests together; each holds its body. */
    private static final int MOST_WAITING = 256;

    private final Set<RequestDigest> mTaken = new HashSet<>();
    private final Map<RequestDigest, Queue<Runnable>> mWaiting = new HashMap<>();
    private int mWaitingCount;

    /** Returns whether a request like this one is at a target. */
    public boolean isHeld(RequestDigest digest) {
        return mTaken.contains(digest);
    }

    /** Takes the turn, which has to be given back. */
    public void acquire(RequestDigest digest) {
        mTaken.add(digest);
    }

    /**
     * Waits until the turn is given back.
     *
     * @param next looks again what may be done
     * @return false if too many wait
     */
    public boolean addWaiter(RequestDigest digest, Runnable next) {
        if (mWaitingCount >= MOST_WAITING) {
            return false;
        }
        mWaitingCount++;
        mWaiting.computeIfAbsent(digest, unknown -> new ArrayDeque<>()).add(next);
        return true;
    }

    /** Gives the turn back; all who wait look again, as the request may be cleared by now. */
    public void release(RequestDigest digest) {
        mTaken.remove(digest);
        Queue<Runnable> waiting = mWaiting.remove(digest);
        if (waiting != null) {
            mWaitingCount -= waiting.size();
            waiting.forEach(Runnable::run);
        }
    }
}
