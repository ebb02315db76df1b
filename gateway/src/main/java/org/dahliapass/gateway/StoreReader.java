package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.routing.StoreBackoff;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;

/**
 * Reads a snapshot from the store or from the mirror of another VM, and retries until one responds.
 *
 * <p>Confined to the control thread.
 */
final class StoreReader {
    /** The prefix that matches all keys. */
    static final String ALL_KEYS = "";

    private final ControlLoop mLoop;
    private final KeyValueStore mStore;
    private final PeerStoreClients mPeerClients;
    private final List<Endpoint> mSeeds;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final Listener mListener;
    private int mNextSeed;

    /** Receives the results of the reader, on the control thread. */
    interface Listener {
        /** Called after each successful call to the store. */
        void onStoreResponse();

        /** Called after each failed call to the store. */
        void onStoreFailure(Throwable failure);

        /**
         * Returns whether a snapshot is known already, so that no mirror of another VM is needed.
         */
        boolean hasSnapshot();

        /** Called with the complete snapshot and its revision. */
        void onSnapshot(List<StoredItem> items, StoreRevision revision);
    }

    /**
     * Creates a reader.
     *
     * @param seeds VMs whose mirrors are read if the store is unavailable at startup
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
        mPeerClients = peers;
        mSeeds = seeds;
        mBackoff = backoff;
        mLog = log;
        mListener = listener;
    }

    /** Reads a snapshot from the store, or from a seed while the store is unavailable. */
    void read(Consistency consistency) {
        readPage(new ArrayList<>(), Optional.empty(), "", consistency);
    }

    private void readPage(
            List<StoredItem> items,
            Optional<StoreRevision> oldestRevision,
            String after,
            Consistency consistency) {
        onControlThread(
                mLoop,
                mStore.range(ALL_KEYS, after, consistency),
                page -> onPage(items, oldestRevision, page, consistency),
                failure -> {
                    mListener.onStoreFailure(failure);
                    mLoop.schedule(backoff(), () -> readSeed(consistency));
                });
    }

    /**
     * Adds a page and reads the next one.
     *
     * <p>Later pages may come from an older state than the first one. The watch therefore starts at
     * the oldest revision of all pages, and may repeat some changes.
     */
    private void onPage(
            List<StoredItem> items,
            Optional<StoreRevision> oldestRevision,
            RangePage page,
            Consistency consistency) {
        mListener.onStoreResponse();
        StoreRevision revision =
                oldestRevision
                        .filter(oldest -> oldest.number() < page.revision().number())
                        .orElse(page.revision());
        items.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(
                    items,
                    Optional.of(revision),
                    page.items().get(page.items().size() - 1).key(),
                    consistency);
            return;
        }
        mListener.onSnapshot(items, revision);
    }

    /**
     * Reads the mirror of the next seed, so that a VM that starts while the store is unavailable
     * begins with the last state known to the fleet. Reads the store again if the seed does not
     * respond.
     */
    private void readSeed(Consistency consistency) {
        if (mListener.hasSnapshot() || mSeeds.isEmpty()) {
            read(consistency);
            return;
        }
        Endpoint seed = mSeeds.get(mNextSeed++ % mSeeds.size());
        onControlThread(
                mLoop,
                mPeerClients.clientFor(seed).range(ALL_KEYS, "", Consistency.STALE_ALLOWED),
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
                    mLoop.schedule(backoff(), () -> read(consistency));
                });
    }

    private Duration backoff() {
        return Duration.ofMillis(mBackoff.remainingMillis(mLoop.nowMillis()));
    }

    /** Runs a callback on the control thread when a call completes. */
    static <T> void onControlThread(
            ControlLoop loop,
            CompletableFuture<T> call,
            Consumer<T> onSuccess,
            Consumer<Throwable> onFailure) {
        Futures.whenDone(
                call,
                (response, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        onSuccess.accept(response);
                                    } else {
                                        onFailure.accept(failure);
                                    }
                                }));
    }
}
