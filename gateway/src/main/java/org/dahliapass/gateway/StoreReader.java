package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.routing.StoreBackoff;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoredItem;

/**
 * Reads the whole store, from itself or from a VM that has a copy, until one answers.
 *
 * <p>All state belongs to the control thread.
 */
final class StoreReader {
    /** All keys. */
    static final String ALL_KEYS = "";

    private final ControlLoop mLoop;
    private final KeyValueStore mStore;
    private final PeerStoreClients mPeers;
    private final List<Endpoint> mSeeds;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final Listener mListener;
    private int mNextSeed;

    /** What the reader tells; on the control thread. */
    interface Listener {
        /** The store answered a call. */
        void onStoreResponse();

        /** The store gave no answer to a call. */
        void onStoreFailure(Throwable failure);

        /** Returns whether anything was read before, so that a copy of a VM is of no use. */
        boolean hasSnapshot();

        /** All was read, as of a revision. */
        void onSnapshot(List<StoredItem> items, long revision);
    }

    /**
     * Creates a reader.
     *
     * @param seeds VMs that may have a copy, for a VM that starts while the store is away
     */
    StoreReader(
            ControlLoop loop,
            KeyValueStore store,
            PeerStoreClients peers,
            List<Endpoint> seeds,
            StoreBackoff backoff,
            EventLog log,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mPeers = peers;
        mSeeds = seeds;
        mBackoff = backoff;
        mLog = log;
        mListener = listener;
    }

    /** Reads the store, or a copy while the store gives no answers. */
    void read(Consistency freshness) {
        readPage(new ArrayList<>(), Long.MAX_VALUE, "", freshness);
    }

    private void readPage(
            List<StoredItem> items, long oldestRevision, String after, Consistency freshness) {
        onControlThread(
                mLoop,
                mStore.range(ALL_KEYS, after, freshness),
                page -> takePage(items, oldestRevision, page, freshness),
                failure -> {
                    mListener.onStoreFailure(failure);
                    mLoop.schedule(backoff(), () -> readSeed(freshness));
                });
    }

    /**
     * Pages aren't a snapshot, and an older state may answer a later page than the first: the watch
     * begins at the oldest revision of all, and what changed since is told once more.
     */
    private void takePage(
            List<StoredItem> items, long oldestRevision, RangePage page, Consistency freshness) {
        mListener.onStoreResponse();
        long revision = Math.min(oldestRevision, page.revision());
        items.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(items, revision, page.items().get(page.items().size() - 1).key(), freshness);
            return;
        }
        mListener.onSnapshot(items, revision);
    }

    /**
     * Reads the copy of a VM that may be there, so that a VM which starts while the store is away
     * serves by what the fleet knew last. The store is asked again if none answers.
     */
    private void readSeed(Consistency freshness) {
        if (mListener.hasSnapshot() || mSeeds.isEmpty()) {
            read(freshness);
            return;
        }
        Endpoint seed = mSeeds.get(mNextSeed++ % mSeeds.size());
        onControlThread(
                mLoop,
                mPeers.clientFor(seed).range(ALL_KEYS, "", Consistency.STALE_ALLOWED),
                page -> {
                    mLog.write(
                            EventLog.Kind.DEPENDENCY,
                            "copy_read",
                            line -> line.put("seed", seed.toString()));
                    mListener.onSnapshot(page.items(), page.revision());
                },
                failure -> {
                    mLog.write(
                            EventLog.Kind.DEPENDENCY,
                            "seed_silent",
                            line -> line.put("seed", seed.toString()));
                    mLoop.schedule(backoff(), () -> read(freshness));
                });
    }

    private Duration backoff() {
        return Duration.ofMillis(mBackoff.remainingMillis(mLoop.nowMillis()));
    }

    /** Goes on with the end of a call on the control thread. */
    static <T> void onControlThread(
            ControlLoop loop,
            CompletableFuture<T> call,
            Consumer<T> onAnswer,
            Consumer<Throwable> onFailure) {
        Futures.whenDone(
                call,
                (answer, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        onAnswer.accept(answer);
                                    } else {
                                        onFailure.accept(failure);
                                    }
                                }));
    }
}
