package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The requests that arrive before the VM has read its first configuration.
 *
 * <p>When all VMs restart at the same time, callers connect before any VM can serve them. A VM
 * reads its configuration within a fraction of a second, and callers that don't retry lose each
 * request that is refused meanwhile. Thread-safe.
 */
final class StartupQueue {
    /** Bounds the memory that waiting requests use. */
    private static final int MAX_REQUESTS = 256;

    /** Leaves the larger part of a caller's time for serving the request. */
    private static final double MAX_WAIT_SHARE = 0.25;

    private final long mMaxWaitMillis;
    private final Set<Entry> mEntries = new LinkedHashSet<>();
    private boolean mOpen;

    /**
     * Creates an empty queue.
     *
     * @param maxWaitMillis how long a request waits at most, in milliseconds; 0 if none may wait
     */
    StartupQueue(long maxWaitMillis) {
        mMaxWaitMillis = maxWaitMillis;
    }

    /** A waiting request. Entries are compared by identity. */
    private static final class Entry {
        private final EventLoop mLoop;
        private final Runnable mStart;
        private ScheduledFuture<?> mTimer;

        private Entry(EventLoop loop, Runnable start) {
            mLoop = loop;
            mStart = start;
        }
    }

    /** Returns whether a request may wait for the configuration now. */
    synchronized boolean hasRoom() {
        return mMaxWaitMillis > 0 && mEntries.size() < MAX_REQUESTS;
    }

    /**
     * Adds a request; runs exactly one of the two tasks, on the given event loop.
     *
     * @param loop the event loop of the request, which calls this method
     * @param remainingMillis the time until the caller gives up, in milliseconds
     * @param start starts the request once the VM is configured
     * @param reject rejects the request, because the configuration takes too long
     */
    void add(EventLoop loop, long remainingMillis, Runnable start, Runnable reject) {
        Entry entry = new Entry(loop, start);
        if (enqueue(entry)) {
            long waitMillis =
                    Math.min(mMaxWaitMillis, Math.round(MAX_WAIT_SHARE * remainingMillis));
            entry.mTimer =
                    loop.schedule(() -> expire(entry, reject), waitMillis, TimeUnit.MILLISECONDS);
            return;
        }
        start.run();
    }

    private synchronized boolean enqueue(Entry entry) {
        return !mOpen && mEntries.add(entry);
    }

    private void expire(Entry entry, Runnable reject) {
        if (remove(entry)) {
            reject.run();
        }
    }

    private synchronized boolean remove(Entry entry) {
        return mEntries.remove(entry);
    }

    /** Starts all waiting requests, since the VM is configured; any thread may call this. */
    void open() {
        List<Entry> entries;
        synchronized (this) {
            mOpen = true;
            entries = new ArrayList<>(mEntries);
            mEntries.clear();
        }
        for (Entry entry : entries) {
            entry.mLoop.execute(
                    () -> {
                        entry.mTimer.cancel(false);
                        entry.mStart.run();
                    });
        }
    }

    /** Returns the number of waiting requests. */
    synchronized int size() {
        return mEntries.size();
    }
}
