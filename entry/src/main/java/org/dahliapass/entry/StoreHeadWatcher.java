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
 * Watches the store's head by a blocking read while this VM is one of its zone's watchers.
 *
 * <p>Only two VMs per zone watch, so that the load on the store does not grow with the fleet. Not
 * thread-safe; used on the control thread.
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

    /** Returns when the store last responded, in milliseconds; control thread only. */
    long lastResponseMillis() {
        return mLastResponseMillis;
    }

    /** Starts watching if this VM has become a watcher; control thread only. */
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
                                        LOG.info("Watching the store failed: " + message(failure));
                                        mLoop.schedule(RETRY_DELAY, () -> watch(0));
                                        return;
                                    }
                                    onResponse(watched.value());
                                    watch(watched.index());
                                }));
    }

    /** Reads the head once to test whether the store is reachable; control thread only. */
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
     * Returns whether a probe has completed, successfully or not; control thread only.
     *
     * <p>A new VM must not serve an outdated revision from a peer while the store is reachable.
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

    /** Stops watching; safe on any thread. */
    void stop() {
        mLoop.execute(() -> mStopped = true);
    }
}
