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
 * Broadcasts reports about suspected requests to the other VMs, each several times and at a limited
 * rate.
 *
 * <p>Confined to the traffic thread.
 */
final class SuspectBroadcaster {
    /** With one datagram of 30 lost, a report fails to reach a VM once in 27,000 times. */
    private static final int REPETITIONS = 3;

    private static final long INTERVAL_MILLIS = 200;

    /** Keeps most datagrams under 1,400 bytes. */
    private static final int MAX_PER_DATAGRAM = 8;

    /**
     * The maximum number of queued requests; beyond it, the oldest are dropped and reported at
     * their next refusal only.
     */
    private static final int MAX_QUEUED = 256;

    private final EventLoop mLoop;
    private final Consumer<List<RequestDigest>> mSender;

    /** The remaining number of reports of each request, oldest first. */
    private final Map<RequestDigest, Integer> mRemaining = new LinkedHashMap<>();

    private boolean mIsScheduled;

    /**
     * Creates a broadcaster with an empty queue.
     *
     * @param sender sends one datagram about some requests to each VM that serves callers
     */
    SuspectBroadcaster(EventLoop loop, Consumer<List<RequestDigest>> sender) {
        mLoop = loop;
        mSender = sender;
    }

    /**
     * Reports a request at once, unless a datagram was sent just now, and repeats the report later.
     */
    void broadcast(RequestDigest digest) {
        enqueue(digest, REPETITIONS);
    }

    /** Reports a request once more, unless it is queued. */
    void resend(RequestDigest digest) {
        if (!mRemaining.containsKey(digest)) {
            enqueue(digest, 1);
        }
    }

    private void enqueue(RequestDigest digest, int repetitions) {
        mRemaining.remove(digest);
        mRemaining.put(digest, repetitions);
        if (mRemaining.size() > MAX_QUEUED) {
            mRemaining.remove(mRemaining.keySet().iterator().next());
        }
        if (!mIsScheduled) {
            sendNext();
        }
    }

    private void sendNext() {
        mIsScheduled = !mRemaining.isEmpty();
        if (!mIsScheduled) {
            return;
        }
        List<RequestDigest> batch = mRemaining.keySet().stream().limit(MAX_PER_DATAGRAM).toList();
        for (RequestDigest digest : batch) {
            int remaining = mRemaining.remove(digest) - 1;
            if (remaining > 0) {
                mRemaining.put(digest, remaining);
            }
        }
        try {
            mSender.accept(batch);
        } finally {
            // Also after an exception, which must not end the reports.
            Future<?> unused =
                    mLoop.schedule(this::sendNext, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
