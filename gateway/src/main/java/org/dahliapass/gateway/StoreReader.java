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
 * Reads a snapshot from the store or from the mirror of another VM. A VM that knows none yet
 * retries until one responds.
 *
 * <p>Confined to the control thread.
 */
final class StoreReader {
    /** The prefix that matches all keys. */
    static final String ALL_KEYS = "";

    /** The delay before a read is repeated, because the store was restored during it. */
    private static final Duration RESTART_DELAY = Duration.ofMillis(50);

    private final ControlLoop mLoop;
    private final KeyValueStore mStore;
    private final PeerStoreClients mPeerClients;
    private final List<Endpoint> mSeeds;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final Listener mListener;
    private int mNextSeed;
    private boolean mIsReading;

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

        /** Called after a read failed of a VM that knows a snapshot; it is not repeated. */
        void onReadFailed();

        /** Called with the complete snapshot. */
        void onSnapshot(StoreSnapshot snapshot);
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

    /**
     * Reads a snapshot from the store, or from a seed while the store is unavailable; does nothing
     * while another read is in progress.
     *
     * @param known the position of this VM
     */
    void read(Consistency consistency, StoreRevision known) {
        if (mIsReading) {
            return;
        }
        mIsReading = true;
        start(new Progress(consistency, known, List.of(), Optional.empty()));
    }

    /**
     * The pages that were read so far.
     *
     * @param known the position of this VM at the start of the read
     * @param oldest the oldest position of all pages
     */
    private record Progress(
            Consistency consistency,
            StoreRevision known,
            List<StoredItem> items,
            Optional<StoreRevision> oldest) {
        /** Returns whether a page comes from another epoch than the pages before it. */
        boolean contradicts(RangePage page) {
            return oldest.filter(revision -> revision.epoch() != page.revision().epoch())
                    .isPresent();
        }

        Progress with(RangePage page) {
            List<StoredItem> allItems = new ArrayList<>(items);
            allItems.addAll(page.items());
            StoreRevision revision =
                    oldest.filter(previous -> previous.compareTo(page.revision()) < 0)
                            .orElse(page.revision());
            return new Progress(consistency, known, allItems, Optional.of(revision));
        }

        Progress restarted() {
            return new Progress(consistency, known, List.of(), Optional.empty());
        }

        StoreSnapshot snapshot() {
            return new StoreSnapshot(items, oldest.orElseThrow(), consistency, known);
        }
    }

    private void start(Progress progress) {
        readPage(progress.restarted(), "");
    }

    private void readPage(Progress progress, String after) {
        onControlThread(
                mLoop,
                mStore.range(ALL_KEYS, after, progress.consistency()),
                page -> onPage(progress, page),
                failure -> {
                    mListener.onStoreFailure(failure);
                    if (mListener.hasSnapshot()) {
                        mIsReading = false;
                        mListener.onReadFailed();
                        return;
                    }
                    mLoop.schedule(backoff(), () -> readSeed(progress));
                });
    }

    /**
     * Adds a page and reads the next one.
     *
     * <p>Later pages may come from an older state than the first one. The watch therefore starts at
     * the oldest revision of all pages, and may repeat some changes. Pages of a store that was
     * restored meanwhile don't belong together.
     */
    private void onPage(Progress progress, RangePage page) {
        mListener.onStoreResponse();
        if (progress.contradicts(page)) {
            mLoop.schedule(RESTART_DELAY, () -> start(progress));
            return;
        }
        Progress next = progress.with(page);
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(next, page.items().get(page.items().size() - 1).key());
            return;
        }
        complete(next.snapshot());
    }

    private void complete(StoreSnapshot snapshot) {
        mIsReading = false;
        mListener.onSnapshot(snapshot);
    }

    /**
     * Reads the mirror of the next seed, so that a VM that starts while the store is unavailable
     * begins with the last state known to the fleet. Reads the store again if the seed does not
     * respond.
     */
    private void readSeed(Progress progress) {
        if (mSeeds.isEmpty()) {
            start(progress);
            return;
        }
        Endpoint seed = mSeeds.get(mNextSeed++ % mSeeds.size());
        onControlThread(
                mLoop,
                mPeerClients.clientFor(seed).range(),
                page -> {
                    mLog.write(
                            EventLog.Kind.DEPENDENCY,
                            "copy_read",
                            line ->
                                    new UpdateOrigin(seed.toString(), page.revision())
                                            .describe(line));
                    complete(
                            new StoreSnapshot(
                                    page.items(),
                                    page.revision(),
                                    Consistency.STALE_ALLOWED,
                                    progress.known()));
                },
                failure -> {
                    mLog.write(
                            EventLog.Kind.DEPENDENCY,
                            "seed_silent",
                            line -> line.put("seed", seed.toString()));
                    mLoop.schedule(backoff(), () -> start(progress));
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
