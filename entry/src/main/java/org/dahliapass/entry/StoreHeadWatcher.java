package org.dahliapass.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.Watchers;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.registry.ConfigurationCodec;
import org.dahliapass.registry.StoreClient;
import org.dahliapass.registry.StoredValue;

/**
 * Holds a blocking read on the store's head while this VM is one of its zone's watchers.
 *
 * <p>A waiting read counts as a call, so only two VMs of each zone hold one, whatever the fleet's
 * size.
 */
final class StoreHeadWatcher {
    private static final ComponentLog LOG = ComponentLog.of("configuration");
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(55);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MIN_PROBE_INTERVAL = Duration.ofSeconds(1);

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final FleetService mFleet;
    private final Consumer<Head> mOnHead;
    private boolean mWatching;
    private boolean mStopped;
    private boolean mProbed;
    private long mLastResponseMillis;
    private long mLastProbeMillis;

    StoreHeadWatcher(
            StoreClient store, ControlLoop loop, FleetService fleet, Consumer<Head> onHead) {
        mStore = store;
        mLoop = loop;
        mFleet = fleet;
        mOnHead = onHead;
        mLastResponseMillis = loop.nowMillis();
    }

    /** Returns when the store last answered, in milliseconds; control thread only. */
    long lastResponseMillis() {
        return mLastResponseMillis;
    }

    /** Begins to watch if this VM has become a watcher; control thread only. */
    void refresh() {
        if (!mWatching && isWatcher()) {
            mWatching = true;
            watch(0);
        }
    }

    private boolean isWatcher() {
        return !mStopped && Watchers.watches(mFleet.view().self(), mFleet.view().members());
    }

    private void watch(long index) {
        if (!isWatcher()) {
            mWatching = false;
            return;
        }
        Futures.whenDone(
                mStore.watch(StoreKey.HEAD.path(), index, WATCH_TIMEOUT),
                (watched, failure) ->
                        mLoop.execute(
                                () -> {
                                    if (failure != null) {
                                        LOG.info("The store gave no word: " + message(failure));
                                        mLoop.schedule(RETRY_DELAY, () -> watch(0));
                                        return;
                                    }
                                    onResponse(watched.value());
                                    watch(watched.index());
                                }));
    }

    /** Reads the head once, to learn whether the store can be heard; control thread only. */
    void probe() {
        long now = mLoop.nowMillis();
        if (mStopped || now - mLastProbeMillis < MIN_PROBE_INTERVAL.toMillis()) {
            return;
        }
        mLastProbeMillis = now;
        Futures.whenDone(
                mStore.read(StoreKey.HEAD.path()),
                (value, failure) ->
                        mLoop.execute(
                                () -> {
                                    mProbed = true;
                                    if (failure == null) {
                                        onResponse(value);
                                    }
                                }));
    }

    /**
     * Returns whether the store was asked once, with or without an answer; control thread only.
     *
     * <p>Guards against a VM that fills itself from a peer that is behind, which would show as a
     * fresh VM that serves an older revision than the fleet. With the store there, it knows the
     * newest number before it serves; with the store away, its peers' word is the best there is.
     */
    boolean hasProbed() {
        return mProbed;
    }

    private void onResponse(Optional<StoredValue> value) {
        mLastResponseMillis = mLoop.nowMillis();
        value.map(found -> (Head) ConfigurationCodec.decode(StoreKey.HEAD, found.value()))
                .ifPresent(mOnHead);
    }

    private static String message(Throwable failure) {
        return failure.getCause() == null ? failure.getMessage() : failure.getCause().getMessage();
    }

    /** Stops watching. */
    void stop() {
        mLoop.execute(() -> mStopped = true);
    }
}
