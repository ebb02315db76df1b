package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.QuarantineEntry;

/**
 * Stores quarantined requests for VMs that start later or miss the datagrams.
 *
 * <p>Confined to the traffic thread.
 */
final class QuarantineStore {
    /** Limits the load on the store when many requests are quarantined. */
    private static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;

    /** The maximum number of cached entries. */
    private static final int MAX_ENTRIES = 1_000;

    /** Stands for the lease of an entry that another VM wrote. */
    private static final long FOREIGN_LEASE = 0;

    private final KeyValueStore mStore;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final String mVm;
    private final EventLog mLog;

    /** The leases of the known entries, oldest first. */
    private final Map<RequestDigest, Long> mLeases = new LinkedHashMap<>();

    private long mLastWriteMillis = Long.MIN_VALUE / 2;

    QuarantineStore(KeyValueStore store, EventLoop loop, Clock clock, String vm, EventLog log) {
        mStore = store;
        mLoop = loop;
        mClock = clock;
        mVm = vm;
        mLog = log;
    }

    /** Records an entry that any VM wrote. */
    void onEntry(RequestDigest digest) {
        addEntry(digest, mLeases.getOrDefault(digest, FOREIGN_LEASE));
    }

    /** Forgets the entries whose keys are not among the given ones. */
    void retainEntries(Set<String> keys) {
        mLeases.keySet().removeIf(digest -> !keys.contains(QuarantineEntry.key(digest)));
    }

    private void addEntry(RequestDigest digest, long lease) {
        mLeases.put(digest, lease);
        if (mLeases.size() > MAX_ENTRIES) {
            mLeases.remove(mLeases.keySet().iterator().next());
        }
    }

    /**
     * Writes an entry unless one is known; after a write was skipped or failed, the next refusal of
     * the request triggers another.
     */
    void ensureEntry(RequestDigest digest, int crashes) {
        long now = mClock.millis();
        if (mLeases.containsKey(digest) || now - mLastWriteMillis < MIN_WRITE_INTERVAL_MILLIS) {
            return;
        }
        mLastWriteMillis = now;
        CompletableFuture<Long> written =
                mStore.grantLease(PoisonDetector.RETENTION)
                        .thenCompose(
                                lease ->
                                        mStore.put(
                                                        QuarantineEntry.key(digest),
                                                        QuarantineEntry.encode(mVm, crashes),
                                                        lease)
                                                .thenApply(
                                                        isWritten ->
                                                                isWritten ? lease : FOREIGN_LEASE));
        Futures.whenDone(
                written,
                (lease, failure) -> mLoop.execute(() -> onWritten(digest, lease, failure)));
    }

    private void onWritten(RequestDigest digest, Long lease, Throwable failure) {
        if (failure == null && lease != FOREIGN_LEASE) {
            addEntry(digest, lease);
            return;
        }
        String cause = failure == null ? "The lease ended." : failure.getMessage();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "quarantine_not_written",
                line -> line.put("digest", digest.hex()).put("cause", cause));
    }

    /** Removes the entry of a request that got a response, if this VM wrote it. */
    void removeEntry(RequestDigest digest) {
        Long lease = mLeases.remove(digest);
        if (lease == null || lease == FOREIGN_LEASE) {
            return;
        }
        Futures.whenDone(
                mStore.revokeLease(lease),
                (ignored, failure) -> {
                    if (failure != null) {
                        mLog.write(
                                EventLog.Kind.DEPENDENCY,
                                "quarantine_not_withdrawn",
                                line ->
                                        line.put("digest", digest.hex())
                                                .put("cause", failure.getMessage()));
                    }
                });
    }
}
