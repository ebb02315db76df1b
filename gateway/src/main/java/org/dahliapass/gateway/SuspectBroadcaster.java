package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dahliapass.model.RequestDigest;

/**
 * Tells the other VMs what is new of suspected requests, each time several times, and so many in a
 * second at most.
 *
 * <p>All state belongs to the traffic thread.
 */
final class SuspectBroadcaster {
    /** With one datagram of thirty lost, one of 27,000 pieces of news reaches a VM not at all. */
    private static final int TIMES = 3;

    private static final long PAUSE_MILLIS = 200;

    /** Requests in one datagram, which then is under 1,400 bytes for most of them. */
    private static final int MOST_AT_ONCE = 8;

    /** Requests that wait to be told of; beyond it the oldest are told by a refusal only. */
    private static final int MOST_WAITING = 256;

    private final EventLoop mLoop;
    private final Consumer<List<RequestDigest>> mTeller;

    /** How often each request is still to be told of, oldest first. */
    private final Map<RequestDigest, Integer> mLeft = new LinkedHashMap<>();

    private boolean mPlanned;

    /**
     * Creates a teller with nothing to tell.
     *
     * @param teller sends one datagram about some requests to each VM that takes callers
     */
    SuspectBroadcaster(EventLoop loop, Consumer<List<RequestDigest>> teller) {
        mLoop = loop;
        mTeller = teller;
    }

    /** Tells of a request at once, unless other news went out just now, and again later. */
    void broadcast(RequestDigest digest) {
        plan(digest, TIMES);
    }

    /** Tells of a request once more. */
    void resend(RequestDigest digest) {
        if (!mLeft.containsKey(digest)) {
            plan(digest, 1);
        }
    }

    private void plan(RequestDigest digest, int times) {
        mLeft.remove(digest);
        mLeft.put(digest, times);
        if (mLeft.size() > MOST_WAITING) {
            mLeft.remove(mLeft.keySet().iterator().next());
        }
        if (!mPlanned) {
            tell();
        }
    }

    private void tell() {
        mPlanned = !mLeft.isEmpty();
        if (!mPlanned) {
            return;
        }
        List<RequestDigest> told = mLeft.keySet().stream().limit(MOST_AT_ONCE).toList();
        for (RequestDigest digest : told) {
            int left = mLeft.remove(digest) - 1;
            if (left > 0) {
                mLeft.put(digest, left);
            }
        }
        mTeller.accept(told);
        Future<?> unused = mLoop.schedule(this::tell, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
