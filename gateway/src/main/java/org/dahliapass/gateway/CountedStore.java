package org.dahliapass.gateway;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.WatchResponse;
import org.dahliapass.traffic.EntryMetrics;

/**
 * A {@link KeyValueStore} that counts the calls by kind, because the platform bills each call.
 *
 * <p>Any thread may call the store; the counts are logged by the control thread.
 */
final class CountedStore implements KeyValueStore {
    /** Short enough to distinguish a burst of calls from a steady rate. */
    private static final Duration LOG_PERIOD = Duration.ofSeconds(10);

    private final KeyValueStore mStore;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final PeriodicTask mLogTask;

    /** Calls since the last log line; guarded by itself. */
    private final Map<Call, Integer> mCalls = new EnumMap<>(Call.class);

    /** The kinds of calls. Stale reads and renewals cost a tenth of the other kinds. */
    private enum Call {
        READ,
        OLD_READ,
        WATCH,
        WRITE,
        LEASE,
        RENEWAL,
        LEASE_END
    }

    CountedStore(KeyValueStore store, ControlLoop loop, EntryMetrics metrics, EventLog log) {
        mStore = store;
        mMetrics = metrics;
        mLog = log;
        mLogTask = new PeriodicTask(loop, LOG_PERIOD, this::logCalls);
    }

    private void count(Call call) {
        mMetrics.onStoreCall(call.name().toLowerCase(Locale.ROOT));
        synchronized (mCalls) {
            mCalls.merge(call, 1, Integer::sum);
        }
        mLogTask.wake();
    }

    private Optional<Duration> logCalls() {
        Map<Call, Integer> calls;
        synchronized (mCalls) {
            calls = new EnumMap<>(mCalls);
            mCalls.clear();
        }
        mLog.write(
                EventLog.Kind.LOAD,
                "store_calls",
                line ->
                        calls.forEach(
                                (call, count) ->
                                        line.put(call.name().toLowerCase(Locale.ROOT), count)));
        return Optional.empty();
    }

    @Override
    public CompletableFuture<RangePage> range(
            String prefix, String after, Consistency consistency) {
        count(consistency == Consistency.LINEARIZABLE ? Call.READ : Call.OLD_READ);
        return mStore.range(prefix, after, consistency);
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, StoreRevision revision, Duration wait) {
        count(Call.WATCH);
        return mStore.watch(prefix, revision, wait);
    }

    @Override
    public CompletableFuture<Boolean> put(String key, byte[] value, long lease) {
        count(Call.WRITE);
        return mStore.put(key, value, lease);
    }

    @Override
    public CompletableFuture<Long> grantLease(Duration timeToLive) {
        count(Call.LEASE);
        return mStore.grantLease(timeToLive);
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        count(Call.RENEWAL);
        return mStore.renewLease(lease);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long lease) {
        count(Call.LEASE_END);
        return mStore.revokeLease(lease);
    }
}
