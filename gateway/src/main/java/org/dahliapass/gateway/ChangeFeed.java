package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.ChangeSource;
import org.dahliapass.decisions.routing.ChangeSourceSelector;
import org.dahliapass.decisions.routing.StoreBackoff;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Reads the store once and then follows its changes, either directly or through another VM.
 *
 * <p>Confined to the control thread.
 */
final class ChangeFeed implements KernelService, StoreReader.Listener, ConfigurationStatus {
    /** The service name in the kernel. */
    static final String NAME = "change-feed";

    /** The delay after an unexpected exception, so that a defect doesn't load the source. */
    private static final Duration RESUME_DELAY = Duration.ofMillis(500);

    private static final String STORE_SOURCE = "store";

    /** The maximum delay before a VM that waits for the store tries another source. */
    private static final long MAX_SOURCE_RETRY_MILLIS = 500;

    /**
     * The maximum duration of a watch on the store. Each watch is a billed call, but a connection
     * that stops responding is noticed only after this time plus the client timeout. A store that
     * stops responding altogether is noticed by the lease renewals.
     */
    private static final Duration MAX_WATCH_TIMEOUT = Duration.ofSeconds(3);

    /**
     * The duration of the first watch after a failure; doubled by each response. Guards against a
     * store that drops its history and lets a watch that starts at that moment wait until its
     * timeout, while changes must take effect within 2 seconds.
     */
    private static final Duration INITIAL_WATCH_TIMEOUT = Duration.ofMillis(400);

    /**
     * The duration of a watch on another VM. A VM may lose power, and changes must take effect
     * within 2 seconds.
     */
    private static final Duration PEER_WATCH_TIMEOUT = Duration.ofMillis(900);

    /**
     * The time without a response after which the store counts as silent. Allows 0.6 s for a
     * response between two lease renewals, and lets the followers of this VM learn of it within the
     * 2 seconds in which a change must take effect.
     */
    private static final long STORE_SILENCE_LIMIT_MILLIS = 1_000;

    /** The interval of the checks for a silent store; adds to the time above. */
    private static final Duration SILENCE_CHECK_PERIOD = Duration.ofMillis(200);

    /**
     * The delay before the next watch after changes, so that a series of changes is read in one
     * call.
     */
    private static final Duration BATCH_DELAY = Duration.ofMillis(300);

    /**
     * The maximum age of the last update of an up-to-date VM: a change must take effect within 2
     * seconds, and a source responds about every second.
     */
    private static final long MAX_UPDATE_AGE_MILLIS = 1_500;

    /**
     * The delay before a VM that knows no watcher of the store reads it again to find its peers.
     */
    private static final Duration PEER_DISCOVERY_DELAY = Duration.ofSeconds(1);

    private final KeyValueStore mStore;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final ChangeSourceSelector mSourceSelector;
    private final StoreMirror mMirror = new StoreMirror();
    private final PeerStoreClients mPeerClients;
    private final List<Endpoint> mSeeds;
    private final List<Runnable> mListeners = new ArrayList<>();
    private ControlLoop mLoop;
    private PeriodicTask mSilenceCheck;
    private StoreFollower mFollower;
    private StoreReader mReader;
    private volatile boolean mFollowsStore;
    private volatile String mSource = "";

    /** The time of the last update from the store or a VM that watches it, in milliseconds. */
    private volatile long mLastUpdateMillis = Long.MIN_VALUE / 2;

    /**
     * The start of the current period without a gap in updates, in milliseconds; control thread
     * only.
     */
    private long mUpToDateSinceMillis;

    /** The duration of the next watch. */
    private Duration mWatchTimeout = INITIAL_WATCH_TIMEOUT;

    /** The position in the store's history up to which changes are applied. */
    private volatile StoreRevision mRevision = StoreRevision.NONE;

    /** The number of the current watch; the response of an earlier one is ignored. */
    private int mWatchNumber;

    ChangeFeed(
            GatewaySettings settings,
            KeyValueStore store,
            HttpClient client,
            RandomGenerator random,
            EntryMetrics metrics,
            EventLog log) {
        mStore = store;
        mPeerClients = new PeerStoreClients(client);
        mBackoff = new StoreBackoff(random);
        mLog = log;
        mMetrics = metrics;
        mSeeds = settings.seeds();
        mSourceSelector = new ChangeSourceSelector(settings.self());
    }

    /** Returns the mirror of the store. */
    StoreMirror mirror() {
        return mMirror;
    }

    /** Returns whether this VM watches the store directly, so that others may follow its mirror. */
    boolean isCurrent() {
        return mFollowsStore;
    }

    @Override
    public boolean isUpToDate() {
        return configurationAgeMillis() <= MAX_UPDATE_AGE_MILLIS;
    }

    @Override
    public void describe(JsonObject line) {
        new UpdateOrigin(mSource, mRevision)
                .describe(line)
                .put("update_age_ms", configurationAgeMillis());
    }

    /**
     * Returns the time since the source of changes last responded, in milliseconds; any thread may
     * call this.
     */
    long configurationAgeMillis() {
        long lastUpdateMillis =
                mFollowsStore
                        ? Math.max(mLastUpdateMillis, mFollower.lastResponseMillis())
                        : mLastUpdateMillis;
        return mLoop.nowMillis() - lastUpdateMillis;
    }

    /** Registers a listener that runs when there may be changes for the followers of this VM. */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mFollower.setUpToDateSince(this::upToDateSinceMillis);
        mReader = new StoreReader(mLoop, mStore, mPeerClients, mSeeds, mBackoff, mLog, this);
        mLoop.execute(this::readStore);
        mSilenceCheck = new PeriodicTask(mLoop, SILENCE_CHECK_PERIOD, this::leaveStoreIfSilent);
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Reads the whole store. A stale response is enough for the first read and costs a tenth,
     * because the watch continues from the revision of the read.
     */
    private void readStore() {
        mReader.read(mSource.isEmpty() ? Consistency.STALE_ALLOWED : Consistency.LINEARIZABLE);
    }

    @Override
    public void onSnapshot(List<StoredItem> items, StoreRevision revision) {
        guard(revision, () -> follow(items, revision));
    }

    /**
     * Runs a step of following a source; resumes after a delay if it throws.
     *
     * <p>Guards against a VM that stays in its last known state for good after one update that it
     * can't handle.
     */
    private void guard(StoreRevision revision, Runnable step) {
        if (!mFollower.isolate(step)) {
            int watchNumber = mWatchNumber;
            mLoop.schedule(RESUME_DELAY, () -> resumeFollowing(watchNumber, revision));
        }
    }

    private void follow(List<StoredItem> items, StoreRevision revision) {
        if (revision.number() < mRevision.number()) {
            logIgnoredSnapshot(STORE_SOURCE, revision);
            // The snapshot is older than the state of this VM.
            follow(mRevision);
            return;
        }
        applySnapshot(items, revision, STORE_SOURCE);
    }

    @Override
    public boolean hasSnapshot() {
        return mMirror.isLoaded();
    }

    @Override
    public void onStoreResponse() {
        mBackoff.onSuccess();
        mFollower.onStoreResponse();
    }

    private void applySnapshot(List<StoredItem> items, StoreRevision revision, String source) {
        recordUpdate();
        mMirror.load(items, revision);
        moveTo(revision);
        mFollower.isolate(() -> mFollower.applySnapshot(items, new UpdateOrigin(source, revision)));
        notifyListeners();
        follow(revision);
    }

    /** Watches the selected source for changes after a revision. */
    private void follow(StoreRevision revision) {
        long now = mLoop.nowMillis();
        AddressPlan plan = mFollower.view().plan();
        mWatchNumber++;
        if (plan.watchers().isEmpty() && mSource.isEmpty()) {
            // The whole fleet is starting; the entries of the other VMs are about to be written.
            mLoop.schedule(PEER_DISCOVERY_DELAY, this::readStore);
            return;
        }
        boolean isStoreResponding = !mFollower.isStoreUnavailable() && !isStoreSilent();
        ChangeSource changeSource =
                mSourceSelector.choose(plan, isStoreResponding, mLastUpdateMillis, now);
        if (changeSource instanceof ChangeSource.Vm source) {
            switchSource(source.vm().name());
            followPeer(source.vm(), revision);
            return;
        }
        long delay =
                changeSource instanceof ChangeSource.RetryLater retryLater
                        ? retryLater.delayMillis()
                        : Math.min(MAX_SOURCE_RETRY_MILLIS, mBackoff.remainingMillis(now));
        if (delay > 0) {
            int watchNumber = mWatchNumber;
            stopServingFollowers();
            mLoop.schedule(Duration.ofMillis(delay), () -> resumeFollowing(watchNumber, revision));
            return;
        }
        switchSource(STORE_SOURCE);
        followStore(revision);
    }

    private boolean isStoreSilent() {
        return mLoop.nowMillis() - mFollower.lastResponseMillis() > STORE_SILENCE_LIMIT_MILLIS;
    }

    /**
     * Stops following the store if it is silent.
     *
     * <p>Guards against a store that is silent towards this VM only: the watch keeps waiting
     * although a change was acknowledged to the operator, and all followers of this VM would use
     * the old configuration until the watch times out. This VM rejects its followers at once and
     * follows another VM that still receives changes.
     */
    private Optional<Duration> leaveStoreIfSilent() {
        if (!mFollowsStore) {
            return Optional.empty();
        }
        if (!isStoreSilent()) {
            return Optional.of(SILENCE_CHECK_PERIOD);
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_silent",
                line -> line.put("silent_ms", mLoop.nowMillis() - mFollower.lastResponseMillis()));
        stopServingFollowers();
        follow(mRevision);
        return Optional.empty();
    }

    /** Returns whether this VM watches the store directly; control thread only. */
    boolean followsStore() {
        return mFollowsStore;
    }

    private void switchSource(String name) {
        if (name.equals(mSource)) {
            return;
        }
        String previous = mSource;
        mSource = name;
        mWatchTimeout = INITIAL_WATCH_TIMEOUT;
        removeUnusedClients();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "following",
                line -> new UpdateOrigin(name, mRevision).describe(line).put("before", previous));
    }

    private void removeUnusedClients() {
        Set<Endpoint> endpoints =
                mFollower.view().vms().stream()
                        .map(FleetVm::peerEndpoint)
                        .collect(Collectors.toSet());
        endpoints.addAll(mSeeds);
        mPeerClients.retain(endpoints);
    }

    private void followStore(StoreRevision revision) {
        int watchNumber = mWatchNumber;
        StoreReader.onControlThread(
                mLoop,
                mStore.watch(StoreReader.ALL_KEYS, revision, mWatchTimeout),
                response -> guard(revision, () -> onWatched(watchNumber, revision, response)),
                failure ->
                        guard(
                                revision,
                                () -> {
                                    if (watchNumber == mWatchNumber) {
                                        onStoreFailure(failure);
                                        follow(revision);
                                    }
                                }));
    }

    private void onWatched(int watchNumber, StoreRevision revision, WatchResponse response) {
        onStoreResponse();
        extendWatchTimeout(response);
        if (watchNumber == mWatchNumber) {
            mFollowsStore = true;
            mSilenceCheck.wake();
            applyWatchResponse(revision, response, this::readStore, BATCH_DELAY);
        }
    }

    private void extendWatchTimeout(WatchResponse response) {
        if (response instanceof WatchResponse.Compacted) {
            mWatchTimeout = INITIAL_WATCH_TIMEOUT;
            return;
        }
        Duration doubled = mWatchTimeout.multipliedBy(2);
        mWatchTimeout = doubled.compareTo(MAX_WATCH_TIMEOUT) < 0 ? doubled : MAX_WATCH_TIMEOUT;
    }

    /** Continues to follow, unless a newer watch was started meanwhile. */
    private void resumeFollowing(int watchNumber, StoreRevision revision) {
        if (watchNumber == mWatchNumber) {
            follow(revision);
        }
    }

    private void followPeer(FleetVm peer, StoreRevision revision) {
        int watchNumber = mWatchNumber;
        stopServingFollowers();
        StoreReader.onControlThread(
                mLoop,
                mPeerClients
                        .clientFor(peer.peerEndpoint())
                        .watch(StoreReader.ALL_KEYS, revision, PEER_WATCH_TIMEOUT),
                response ->
                        guard(
                                revision,
                                () -> {
                                    if (watchNumber == mWatchNumber) {
                                        applyWatchResponse(
                                                revision,
                                                response,
                                                () -> readPeer(peer, revision),
                                                Duration.ZERO);
                                    }
                                }),
                failure ->
                        guard(
                                revision,
                                () -> {
                                    onPeerFailed(peer, failure);
                                    resumeFollowing(watchNumber, revision);
                                }));
    }

    private void onPeerFailed(FleetVm peer, Throwable failure) {
        Throwable exception = Futures.unwrap(failure);
        // An exception without a cause is an error status from the VM.
        Throwable cause = Futures.unwrap(exception.getCause());
        if (cause instanceof TimeoutException) {
            mSourceSelector.onTimeout(peer, mLoop.nowMillis());
        } else if (cause == null) {
            mSourceSelector.onUnavailable(peer, mLoop.nowMillis());
        } else {
            mSourceSelector.onConnectionFailure(peer, mLoop.nowMillis());
        }
    }

    /** Reads the mirror of another VM and ignores it if it is older than the state of this VM. */
    private void readPeer(FleetVm peer, StoreRevision revision) {
        StoreReader.onControlThread(
                mLoop,
                mPeerClients
                        .clientFor(peer.peerEndpoint())
                        .range(StoreReader.ALL_KEYS, "", Consistency.STALE_ALLOWED),
                page -> {
                    if (page.revision().number() >= revision.number()) {
                        applySnapshot(page.items(), page.revision(), peer.name());
                        return;
                    }
                    logIgnoredSnapshot(peer.name(), page.revision());
                    mSourceSelector.onUnavailable(peer, mLoop.nowMillis());
                    readStore();
                },
                failure -> {
                    onPeerFailed(peer, failure);
                    readStore();
                });
    }

    /** Sets the position up to which changes are applied. */
    private void moveTo(StoreRevision revision) {
        StoreRevision previous = mRevision;
        mRevision = revision;
        mMetrics.onStoreRevision(revision.epoch(), revision.number());
        if (previous.epoch() != revision.epoch()) {
            mLog.write(
                    EventLog.Kind.DEPENDENCY,
                    "store_epoch",
                    line ->
                            new UpdateOrigin(mSource, revision)
                                    .describe(line)
                                    .put("before_epoch", previous.epoch())
                                    .put("before_revision", previous.number()));
        }
    }

    private void logIgnoredSnapshot(String source, StoreRevision revision) {
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "older_snapshot_ignored",
                line ->
                        new UpdateOrigin(source, revision)
                                .describe(line)
                                .put("known_epoch", mRevision.epoch())
                                .put("known_revision", mRevision.number()));
    }

    private void recordUpdate() {
        long now = mLoop.nowMillis();
        if (now - mLastUpdateMillis > MAX_UPDATE_AGE_MILLIS) {
            mUpToDateSinceMillis = now;
        }
        mLastUpdateMillis = now;
    }

    /**
     * Returns the start of the current period without a gap in updates, in milliseconds, or {@link
     * Long#MAX_VALUE} if the last update is too old.
     */
    private long upToDateSinceMillis() {
        boolean recent = mLoop.nowMillis() - mLastUpdateMillis <= MAX_UPDATE_AGE_MILLIS;
        return recent ? mUpToDateSinceMillis : Long.MAX_VALUE;
    }

    private void applyWatchResponse(
            StoreRevision revision, WatchResponse response, Runnable readAgain, Duration delay) {
        recordUpdate();
        if (response instanceof WatchResponse.Changes changes) {
            mMirror.apply(changes.events(), changes.revision());
            mFollower.isolate(
                    () ->
                            mFollower.applyEvents(
                                    changes.events(),
                                    new UpdateOrigin(mSource, changes.revision())));
            notifyListeners();
            StoreRevision nextRevision =
                    changes.revision().number() > revision.number() ? changes.revision() : revision;
            moveTo(nextRevision);
            if (changes.events().isEmpty() || delay.isZero()) {
                follow(nextRevision);
            } else {
                int watchNumber = mWatchNumber;
                mLoop.schedule(delay, () -> resumeFollowing(watchNumber, nextRevision));
            }
            return;
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "history_lost",
                line ->
                        new UpdateOrigin(mSource, revision)
                                .describe(line)
                                .put("source_epoch", ((WatchResponse.Compacted) response).epoch()));
        if (delay.isZero()) {
            readAgain.run();
        } else {
            // Guards against continuous whole reads from a store that keeps dropping its history.
            mLoop.schedule(delay, readAgain);
        }
    }

    @Override
    public void onStoreFailure(Throwable failure) {
        mWatchTimeout = INITIAL_WATCH_TIMEOUT;
        mBackoff.onFailure(mLoop.nowMillis());
        mFollower.onStoreFailure(failure);
        stopServingFollowers();
    }

    private void stopServingFollowers() {
        if (mFollowsStore) {
            mFollowsStore = false;
            notifyListeners();
        }
    }

    private void notifyListeners() {
        mListeners.forEach(mFollower::isolate);
    }
}
