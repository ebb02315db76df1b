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
import org.dahliapass.decisions.routing.AnswerPeriod;
import org.dahliapass.decisions.routing.ChangeSource;
import org.dahliapass.decisions.routing.ChangeSourceSelector;
import org.dahliapass.decisions.routing.StoreBackoff;
import org.dahliapass.decisions.routing.StoreState;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.AnswerAges;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;

/**
 * Reads the store once and then follows its changes, either directly or through another VM.
 *
 * <p>A store that was restored from a copy is read again by the VMs that watch it; the others wait
 * for these.
 *
 * <p>Confined to the control thread.
 */
final class ChangeFeed implements KernelService, StoreReader.Listener {
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
     * The delay before a VM that knows no watcher of the store reads it again to find its peers.
     */
    private static final Duration PEER_DISCOVERY_DELAY = Duration.ofSeconds(1);

    /**
     * How long a VM that doesn't watch the store waits, after a restore, for the VMs that do. They
     * call a store that was away again after at most 1.5 s.
     */
    private static final long MIN_RESTORE_WAIT_MILLIS = 1_600;

    /** Exceeds the delay with which a VM that watches the store reads a change. */
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(400);

    /** How long a VM follows others that name an older epoch than the store has named to it. */
    private static final long MAX_OUTDATED_MILLIS = 5_000;

    /** Spreads the reads of VMs that wait in vain. */
    private static final int MAX_RESTORE_JITTER_MILLIS = 1_000;

    private final KeyValueStore mStore;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final UpdateStatus mStatus;
    private final ChangeSourceSelector mSourceSelector;
    private final StoreMirror mMirror = new StoreMirror();
    private final PeerStoreClients mPeerClients;
    private final List<Endpoint> mSeeds;
    private final RandomGenerator mRandom;
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<Runnable> mRestoreListeners = new ArrayList<>();
    private ControlLoop mLoop;
    private PeriodicTask mSilenceCheck;
    private StoreFollower mFollower;
    private StoreReader mReader;
    private volatile boolean mFollowsStore;

    /** Whether the state comes from the store, and not from a VM that knew the state before. */
    private boolean mIsFromStore;

    /** Whether this VM has asked another one for what it knows from before a restore. */
    private boolean mHasJoined;

    /** The duration of the next watch. */
    private Duration mWatchTimeout = INITIAL_WATCH_TIMEOUT;

    /** The number of the current watch; the response of an earlier one is ignored. */
    private int mWatchNumber;

    /** When this VM last left the store because it was silent, in milliseconds. */
    private long mLeftStoreMillis = Long.MIN_VALUE / 2;

    ChangeFeed(
            GatewaySettings settings,
            KeyValueStore store,
            HttpClient client,
            RandomGenerator random,
            UpdateStatus status,
            EventLog log) {
        mStore = store;
        mPeerClients = new PeerStoreClients(client, this::onStoreAnsweredPeer);
        mBackoff = new StoreBackoff(random);
        mLog = log;
        mStatus = status;
        mRandom = random;
        mSeeds = settings.seeds();
        mSourceSelector = new ChangeSourceSelector(settings.self());
    }

    /** Returns the mirror of the store. */
    StoreMirror mirror() {
        return mMirror;
    }

    /** Returns how far and how recently this VM has followed the changes. */
    UpdateStatus status() {
        return mStatus;
    }

    /**
     * Returns whether this VM watches the store and receives responses, so that others may follow
     * its mirror; control thread only.
     */
    boolean isCurrent() {
        return mFollowsStore && !isStoreSilent();
    }

    /** Registers a listener that runs when there may be changes for the followers of this VM. */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Registers a listener that runs once the state of a store is applied that was restored from a
     * copy; to be called before the start.
     */
    void addRestoreListener(Runnable listener) {
        mRestoreListeners.add(listener);
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mFollower.setStoreReturnListener(this::onStoreReturned);
        mStatus.setConfirmedMillis(
                () -> mFollowsStore ? mFollower.lastResponseMillis() : Long.MIN_VALUE / 2);
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
        Consistency consistency =
                mStatus.source().isEmpty() ? Consistency.STALE_ALLOWED : Consistency.LINEARIZABLE;
        mReader.read(consistency, mStatus.lowerBound());
    }

    @Override
    public void onSnapshot(StoreSnapshot snapshot) {
        guard(() -> follow(snapshot));
    }

    /**
     * Runs a step of following a source; resumes after a delay if it throws.
     *
     * <p>Guards against a VM that stays in its last known state for good after one update that it
     * can't handle.
     */
    private void guard(Runnable step) {
        if (!mFollower.isolate(step)) {
            resumeAfter(RESUME_DELAY);
        }
    }

    private void follow(StoreSnapshot snapshot) {
        StoreRevision revision = mStatus.resolve(snapshot.revision());
        if (snapshot.isAuthoritative(revision)) {
            mStatus.revertToEpoch(revision.epoch());
        } else if (mMirror.isLoaded() && isOutdated(revision)) {
            logIgnoredSnapshot(STORE_SOURCE, revision);
            resumeAfter(BATCH_DELAY);
            return;
        }
        mIsFromStore = true;
        applySnapshot(
                mMirror.load(snapshot.items(), revision, mLoop.nowMillis()),
                new UpdateOrigin(STORE_SOURCE, revision),
                snapshot.consistency());
    }

    /**
     * Chooses a source again.
     *
     * <p>Guards against a VM that reads in vain from a store that is silent to it, while other VMs
     * still receive changes.
     */
    @Override
    public void onReadFailed() {
        guard(this::follow);
    }

    private boolean isOutdated(StoreRevision revision) {
        return revision.compareTo(mStatus.revision()) < 0 || mStatus.isOutdated(revision.epoch());
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

    private void applySnapshot(
            List<StoredItem> items, UpdateOrigin origin, Consistency consistency) {
        StoreRevision previous = mStatus.revision();
        boolean isRestored =
                previous.number() > 0
                        && (origin.revision().epoch() != previous.epoch()
                                || origin.revision().compareTo(previous) < 0);
        publish(origin, isRestored, () -> mFollower.applySnapshot(items, origin));
        if (consistency == Consistency.STALE_ALLOWED) {
            mSourceSelector.onDoubt(mLoop.nowMillis());
        }
        follow();
    }

    /** Watches the selected source for further changes. */
    private void follow() {
        long now = mLoop.nowMillis();
        AddressPlan plan = mFollower.view().plan();
        mWatchNumber++;
        if (plan.watchers().isEmpty() && mStatus.source().isEmpty()) {
            // The whole fleet is starting; the entries of the other VMs are about to be written.
            mLoop.schedule(PEER_DISCOVERY_DELAY, this::readStore);
            return;
        }
        ChangeSource changeSource =
                mSourceSelector.choose(plan, storeState(now), mStatus.lastUpdateMillis(), now);
        if (changeSource instanceof ChangeSource.Vm source) {
            switchSource(source.vm().name());
            followPeer(source.vm(), Duration.ofMillis(source.watchMillis()));
            if (now < storeDeadlineMillis()) {
                awaitStoreDeadline(mWatchNumber);
            }
            return;
        }
        long delay =
                changeSource instanceof ChangeSource.RetryLater retryLater
                        ? retryLater.delayMillis()
                        : Math.min(MAX_SOURCE_RETRY_MILLIS, mBackoff.remainingMillis(now));
        if (delay > 0) {
            stopServingFollowers();
            resumeAfter(Duration.ofMillis(delay));
            return;
        }
        switchSource(STORE_SOURCE);
        if (!mHasJoined) {
            mHasJoined = true;
            joinNearestWatcher();
        }
        followStore();
    }

    /**
     * Chooses a source again at the time at which the store is asked, unless a newer watch was
     * started meanwhile.
     */
    private void awaitStoreDeadline(int watchNumber) {
        if (watchNumber != mWatchNumber) {
            return;
        }
        long remainingMillis = storeDeadlineMillis() - mLoop.nowMillis();
        if (remainingMillis <= 0) {
            mLog.write(
                    EventLog.Kind.DEPENDENCY,
                    "state_unconfirmed",
                    line ->
                            new UpdateOrigin(mStatus.source(), mStatus.revision())
                                    .describe(line)
                                    .put("update_age_ms", mStatus.ageMillis()));
            follow();
            return;
        }
        mLoop.schedule(
                Duration.ofMillis(remainingMillis),
                () -> guard(() -> awaitStoreDeadline(watchNumber)));
    }

    private long storeDeadlineMillis() {
        return mSourceSelector.storeDeadlineMillis(mStatus.lastUpdateMillis());
    }

    private void joinNearestWatcher() {
        mSourceSelector
                .nearestWatcher(mFollower.view().plan(), mLoop.nowMillis())
                .ifPresent(this::join);
    }

    /**
     * Asks a VM that watches the store for what it knows from before a restore and when the store
     * answered it, while this VM watches the store itself.
     */
    private void join(FleetVm peer) {
        StoreReader.onControlThread(
                mLoop,
                mPeerClients
                        .clientFor(peer.peerEndpoint())
                        .watch(mStatus.revision(), mIsFromStore, JOIN_TIMEOUT),
                response -> guard(() -> onJoined(response)),
                failure -> {});
    }

    /** Applies what another VM knows; the position of this VM stays that of its own watch. */
    private void onJoined(WatchResponse response) {
        boolean isCurrent = mStatus.resolve(response.epoch()) == mStatus.revision().epoch();
        if (!isCurrent || mStatus.hasMissedChanges()) {
            return;
        }
        if (response instanceof WatchResponse.Changes changes) {
            mIsFromStore = false;
            StoreRevision revision = mStatus.revision();
            publish(mMirror.applyFromPeer(changes.events(), revision, mLoop.nowMillis()), revision);
        }
    }

    /**
     * Asks another watcher whether the store answered it while it didn't answer this VM.
     *
     * <p>Guards against a VM that was busy or cut off, takes that for an outage of the store, and
     * retains removed targets.
     */
    private void onStoreReturned() {
        if (mFollowsStore) {
            joinNearestWatcher();
        }
    }

    /** Records when the store answered another VM; any thread may call this. */
    private void onStoreAnsweredPeer(AnswerAges ages) {
        long now = mLoop.nowMillis();
        AnswerPeriod period =
                new AnswerPeriod(
                        now - ages.sinceAgeMillis(),
                        now - ages.untilAgeMillis(),
                        ages.isAfterOutage());
        mLoop.execute(() -> mFollower.onStoreAnswered(period));
    }

    /** Returns when the store answered; empty if no answer is known. Control thread only. */
    Optional<AnswerAges> answerAges() {
        long now = mLoop.nowMillis();
        return mFollower
                .answerPeriod()
                .map(
                        period ->
                                new AnswerAges(
                                        now - period.sinceMillis(),
                                        now - period.untilMillis(),
                                        period.isAfterOutage()));
    }

    private StoreState storeState(long nowMillis) {
        if (mFollower.lastResponseMillis() < mLeftStoreMillis) {
            return StoreState.UNAVAILABLE;
        }
        boolean isPaused = mBackoff.remainingMillis(nowMillis) > 0;
        if (mFollower.isStoreUnavailable()) {
            return isPaused ? StoreState.UNAVAILABLE : StoreState.RETRIABLE;
        }
        return isPaused ? StoreState.PAUSED : StoreState.RESPONDING;
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
        mLeftStoreMillis = mLoop.nowMillis();
        stopServingFollowers();
        follow();
        return Optional.empty();
    }

    /** Returns whether this VM watches the store directly; control thread only. */
    boolean followsStore() {
        return mFollowsStore;
    }

    private void switchSource(String name) {
        String previous = mStatus.source();
        if (name.equals(previous)) {
            return;
        }
        mStatus.setSource(name);
        mWatchTimeout = INITIAL_WATCH_TIMEOUT;
        removeUnusedClients();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "following",
                line ->
                        new UpdateOrigin(name, mStatus.revision())
                                .describe(line)
                                .put("before", previous));
    }

    private void removeUnusedClients() {
        Set<Endpoint> endpoints =
                mFollower.view().vms().stream()
                        .map(FleetVm::peerEndpoint)
                        .collect(Collectors.toSet());
        endpoints.addAll(mSeeds);
        mPeerClients.retain(endpoints);
    }

    private void followStore() {
        int watchNumber = mWatchNumber;
        StoreRevision revision = mStatus.revision();
        StoreReader.onControlThread(
                mLoop,
                mStore.watch(StoreReader.ALL_KEYS, revision, mWatchTimeout),
                response -> guard(() -> onWatched(watchNumber, revision, response)),
                failure ->
                        guard(
                                () -> {
                                    if (watchNumber == mWatchNumber) {
                                        onStoreFailure(failure);
                                        follow();
                                    }
                                }));
    }

    private void onWatched(int watchNumber, StoreRevision watched, WatchResponse response) {
        onStoreResponse();
        extendWatchTimeout(response);
        if (watchNumber != mWatchNumber) {
            return;
        }
        long epoch = mStatus.resolve(response.epoch());
        if (mStatus.isOutdated(epoch)) {
            // The response was delayed; a later one has told of a restore.
            resumeAfter(BATCH_DELAY);
            return;
        }
        mFollowsStore = true;
        mSilenceCheck.wake();
        if (epoch != watched.epoch()) {
            // The changes don't continue the known history, even if their numbers do.
            mStatus.onEpoch(epoch);
            onStoreRestored();
            return;
        }
        if (response instanceof WatchResponse.Changes changes) {
            applyStoreChanges(changes);
            return;
        }
        recordMissedChanges(response.epoch());
        // Guards against continuous whole reads from a store that keeps dropping its history.
        mLoop.schedule(BATCH_DELAY, this::readStore);
    }

    private void extendWatchTimeout(WatchResponse response) {
        if (response instanceof WatchResponse.Compacted) {
            mWatchTimeout = INITIAL_WATCH_TIMEOUT;
            return;
        }
        Duration doubled = mWatchTimeout.multipliedBy(2);
        mWatchTimeout = doubled.compareTo(MAX_WATCH_TIMEOUT) < 0 ? doubled : MAX_WATCH_TIMEOUT;
    }

    /**
     * Records the epoch that a response of the store to any call named; any thread may call this.
     */
    void onStoreEpoch(long epoch) {
        if (mStatus.onEpoch(epoch)) {
            mLoop.execute(() -> guard(this::onStoreRestored));
        }
    }

    /**
     * Moves to the state of a restored store: reads it if this VM watches the store, and otherwise
     * waits for a while for a VM that does.
     *
     * <p>Guards against all VMs of a fleet that read the whole store at once.
     */
    private void onStoreRestored() {
        if (mStatus.revision().epoch() == StoreRevision.UNKNOWN_EPOCH && !mMirror.isLoaded()) {
            return;
        }
        boolean isWatcher = isWatcher();
        if (!isWatcher && !mStatus.source().equals(STORE_SOURCE)) {
            return;
        }
        recordMissedChanges(mStatus.newestEpoch());
        if (isWatcher || mStatus.outdatedMillis() >= MIN_RESTORE_WAIT_MILLIS) {
            mWatchNumber++;
            readStore();
            return;
        }
        long waitMillis = MIN_RESTORE_WAIT_MILLIS + mRandom.nextLong(MAX_RESTORE_JITTER_MILLIS + 1);
        mSourceSelector.onStoreRestored(mLoop.nowMillis() + waitMillis);
        follow();
    }

    private boolean isWatcher() {
        return mSourceSelector.isWatcher(mFollower.view().plan());
    }

    /** Follows again after a delay, unless a newer watch was started meanwhile. */
    private void resumeAfter(Duration delay) {
        int watchNumber = mWatchNumber;
        mLoop.schedule(delay, () -> resumeFollowing(watchNumber));
    }

    /** Continues to follow, unless a newer watch was started meanwhile. */
    private void resumeFollowing(int watchNumber) {
        if (watchNumber == mWatchNumber) {
            follow();
        }
    }

    private void followPeer(FleetVm peer, Duration wait) {
        int watchNumber = mWatchNumber;
        StoreRevision revision = mStatus.revision();
        stopServingFollowers();
        StoreReader.onControlThread(
                mLoop,
                mPeerClients.clientFor(peer.peerEndpoint()).watch(revision, mIsFromStore, wait),
                response ->
                        guard(
                                () -> {
                                    if (watchNumber == mWatchNumber) {
                                        onPeerWatched(peer, response);
                                    }
                                }),
                failure ->
                        guard(
                                () -> {
                                    onPeerFailed(peer, failure);
                                    resumeFollowing(watchNumber);
                                }));
    }

    /** Applies the response of another VM, which also lists what a restore has changed. */
    private void onPeerWatched(FleetVm peer, WatchResponse response) {
        if (response instanceof WatchResponse.Compacted) {
            recordMissedChanges(response.epoch());
            readPeer(peer);
            return;
        }
        if (mStatus.resolve(response.epoch()) < mStatus.revision().epoch()) {
            mSourceSelector.onUnavailable(peer, mLoop.nowMillis());
            follow();
            return;
        }
        if (mStatus.outdatedMillis() > MAX_OUTDATED_MILLIS) {
            // Either no watcher has noticed the restore, or there was none.
            readStore();
        }
        applyPeerChanges((WatchResponse.Changes) response);
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
    private void readPeer(FleetVm peer) {
        int watchNumber = mWatchNumber;
        StoreReader.onControlThread(
                mLoop,
                mPeerClients.clientFor(peer.peerEndpoint()).range(),
                page -> {
                    if (watchNumber != mWatchNumber) {
                        return;
                    }
                    StoreRevision revision = mStatus.resolve(page.revision());
                    if (revision.compareTo(mStatus.revision()) >= 0) {
                        mIsFromStore = false;
                        applySnapshot(
                                mMirror.loadFromPeer(page.items(), revision, mLoop.nowMillis()),
                                new UpdateOrigin(peer.name(), revision),
                                Consistency.STALE_ALLOWED);
                        return;
                    }
                    logIgnoredSnapshot(peer.name(), revision);
                    mSourceSelector.onUnavailable(peer, mLoop.nowMillis());
                    follow();
                },
                failure -> {
                    onPeerFailed(peer, failure);
                    resumeFollowing(watchNumber);
                });
    }

    private void applyStoreChanges(WatchResponse.Changes changes) {
        StoreRevision revision = positionAfter(changes);
        mMirror.apply(changes.events(), revision, mLoop.nowMillis());
        publish(changes.events(), revision);
        if (changes.events().isEmpty()) {
            follow();
        } else {
            resumeAfter(BATCH_DELAY);
        }
    }

    private void applyPeerChanges(WatchResponse.Changes changes) {
        mIsFromStore = false;
        StoreRevision revision = positionAfter(changes);
        publish(mMirror.applyFromPeer(changes.events(), revision, mLoop.nowMillis()), revision);
        follow();
    }

    private StoreRevision positionAfter(WatchResponse.Changes changes) {
        StoreRevision revision = mStatus.resolve(changes.revision());
        return revision.compareTo(mStatus.revision()) > 0 ? revision : mStatus.revision();
    }

    private void publish(List<StoreEvent> events, StoreRevision revision) {
        UpdateOrigin origin = new UpdateOrigin(mStatus.source(), revision);
        boolean isRestored = revision.epoch() != mStatus.revision().epoch();
        publish(origin, isRestored, () -> mFollower.applyEvents(events, origin));
    }

    /**
     * Hands an update on to the state of this VM and to its followers.
     *
     * @param isRestored whether the store was restored since the update before
     */
    private void publish(UpdateOrigin origin, boolean isRestored, Runnable update) {
        moveTo(origin.revision());
        mStatus.recordUpdate();
        mFollower.isolate(
                () -> {
                    if (isRestored) {
                        mFollower.onStoreRestored();
                    }
                    update.run();
                });
        notifyListeners();
        if (isRestored) {
            mRestoreListeners.forEach(mFollower::isolate);
        }
    }

    private void recordMissedChanges(long sourceEpoch) {
        mStatus.recordMissedChanges();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "history_lost",
                line ->
                        new UpdateOrigin(mStatus.source(), mStatus.revision())
                                .describe(line)
                                .put("source_epoch", sourceEpoch));
    }

    /** Sets the position up to which changes are applied. */
    private void moveTo(StoreRevision revision) {
        StoreRevision previous = mStatus.revision();
        mStatus.moveTo(revision);
        if (previous.epoch() == revision.epoch()) {
            return;
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_epoch",
                line ->
                        new UpdateOrigin(mStatus.source(), revision)
                                .describe(line)
                                .put("before_epoch", previous.epoch())
                                .put("before_revision", previous.number())
                                .put("carried_over", mMirror.carriedOverCount()));
    }

    private void logIgnoredSnapshot(String source, StoreRevision revision) {
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "older_snapshot_ignored",
                line ->
                        new UpdateOrigin(source, revision)
                                .describe(line)
                                .put("known_epoch", mStatus.revision().epoch())
                                .put("known_revision", mStatus.revision().number()));
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
