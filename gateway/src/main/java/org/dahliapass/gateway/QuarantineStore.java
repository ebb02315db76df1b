package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.QuarantineEntry;

/**
 * Writes quarantined requests to the store, for VMs that start later and those that no datagram
 * reached.
 *
 * <p>All state belongs to the traffic thread.
 */
final class QuarantineStore {
    /** A lease and a write for each entry: a flood of them must leave the store to its users. */
    private static final long PAUSE_MILLIS = 1_000;

    /** Entries that are known; each is a digest and a number. */
    private static final int MOST_KNOWN = 1_000;

    /** The lease of an entry that another VM wrote. */
    private static final long FOREIGN = 0;

    private final KeyValueStore mStore;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final String mVm;
    private final EventLog mLog;

    /** The leases of the entries that are known, oldest first. */
    private final Map<RequestDigest, Long> mLeases = new LinkedHashMap<>();

    private long mWrittenMillis = Long.MIN_VALUE / 2;

    QuarantineStore(KeyValueStore store, EventLoop loop, Clock clock, String vm, EventLog log) {
        mStore = store;
        mLoop = loop;
        mClock = clock;
        mVm = vm;
        mLog = log;
    }

    /** Takes an entry that some VM wrote. */
    void onEntry(RequestDigest digest) {
        know(digest, mLeases.getOrDefault(digest, FOREIGN));
    }

    private void know(RequestDigest digest, long lease) {
        mLeases.put(digest, lease);
        if (mLeases.size() > MOST_KNOWN) {
            mLeases.remove(mLeases.keySet().iterator().next());
        }
    }

    /** Writes an entry unless there is one; one that can't be written now is asked for again. */
    void ensureEntry(RequestDigest digest, int ends) {
        long now = mClock.millis();
        if (mLeases.containsKey(digest) || now - mWrittenMillis < PAUSE_MILLIS) {
            return;
        }
        mWrittenMillis = now;
        CompletableFuture<Long> written =
                mStore.grantLease(PoisonDetector.RETENTION)
                        .thenCompose(
                                lease ->
                                        mStore.put(
                                                        QuarantineEntry.key(digest),
                                                        QuarantineEntry.encode(mVm, ends),
                                                        lease)
                                                .thenApply(done -> done ? lease : FOREIGN));
        Futures.whenDone(
                written,
                (lease, failure) -> mLoop.execute(() -> onWritten(digest, lease, failure)));
    }

    private void onWritten(RequestDigest digest, Long lease, Throwable failure) {
        if (failure == null && lease != FOREIGN) {
            know(digest, lease);
            return;
        }
        String cause = failure == null ? "The lease ended." : failure.getMessage();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "quarantine_not_written",
                line -> line.put("digest", digest.hex()).put("cause", cause));
    }

    /** Takes out an entry of this VM's, whose request was answered. */
    void removeEntry(RequestDigest digest) {
        Long lease = mLeases.remove(digest);
        if (lease == null || lease == FOREIGN) {
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
