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
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;

/**
 * Reads the store once and follows its changes from there on, directly or through another VM.
 *
 * <p>All state belongs to the control thread.
 */
final class ChangeFeed implements KernelService, StoreReader.Listener {
    /** The name under which the kernel holds the feed. */
    static final String NAME = "change-feed";

    private static final String STORE = "store";

    /** How soon a VM that waits for the store looks for another source, in milliseconds. */
    private static final long LONGEST_LOOK_MILLIS = 500;

    /**
     * How long the store holds a watch; each costs a call. A connection that went silent while
     * others work is noticed only after this time and the client's timeout, and news are as late. A
     * store that is silent as a whole is noticed by the renewals of the lease.
     */
    private static final Duration STORE_WATCH = Duration.ofSeconds(3);

    /**
     * The same for the first watch after trouble; it doubles with each answer. Guards against a
     * store that drops its history and lets a watch wait that begins in that moment: the watch
     * hears nothing until it is over, and changes must be in force within 2 seconds.
     */
    private static final Duration FIRST_WATCH = Duration.ofMillis(400);

    /**
     * The same for a VM that is followed: it may lose power, and news must come within 2 seconds.
     */
    private static final Duration PEER_WATCH = Duration.ofMillis(900);

    /**
     * A store that gave no answer for this long is taken for silent: between two renewals of the
     * lease it has 0.6 s left to answer. Those that follow this VM have to hear of it well within
     * the 2 seconds in which a change must be in force, which a waiting watch alone would not show.
     */
    private static final long STORE_SILENT_MILLIS = 1_000;

    /** How often the silence of the store is looked for; adds to the time above. */
    private static final Duration SILENCE_CHECK = Duration.ofMillis(200);

    /**
     * The pause after news, so that changes that come in a series are fetched together. Changes
     * must be in force within 2 seconds.
     */
    private static final Duration GATHER = Duration.ofMillis(300);

    /**
     * News that are older leave room for a version that this VM should have: versions must be in
     * force within 2 seconds, and a VM that is well hears from its source about every second.
     */
    private static final long NEWS_KEPT_MILLIS = 1_500;

    /** How soon a VM that knows of nobody who watches the store reads it again, for its peers. */
    private static final Duration LOOK_FOR_FLEET = Duration.ofSeconds(1);

    private final KeyValueStore mStore;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final ChangeSourceSelector mPlan;
    private final StoreMirror mMirror = new StoreMirror();
    private final PeerStoreClients mPeers;
    private final List<Endpoint> mSeeds;
    private final List<Runnable> mListeners = new ArrayList<>();
    private ControlLoop mLoop;
    private PeriodicTask mSilenceCheck;
    private StoreFollower mFollower;
    private StoreReader mReader;
    private volatile boolean mCurrent;
    private String mSource = "";

    /** When this VM last heard from the store or from a VM that watches it, in milliseconds. */
    private volatile long mHeardMillis = Long.MIN_VALUE / 2;

    /** Since when it has heard without a gap, in milliseconds; control thread only. */
    private long mNewsSinceMillis;

    /** How long the store holds the next watch. */
    private Duration mWatch = FIRST_WATCH;

    /** The store's revision up to which everything was taken. */
    private long mRevision;

    /** Counts the calls that wait for changes: an answer to an abandoned one says nothing. */
    private int mFollowNumber;

    ChangeFeed(
            GatewaySettings settings,
            KeyValueStore store,
            HttpClient client,
            RandomGenerator random,
            EventLog log) {
        mStore = store;
        mPeers = new PeerStoreClients(client);
        mBackoff = new StoreBackoff(random);
        mLog = log;
        mSeeds = settings.seeds();
        mPlan = new ChangeSourceSelector(settings.self());
    }

    /** Returns the copy of the store. */
    StoreMirror mirror() {
        return mMirror;
    }

    /** Returns whether the copy is kept up by the store itself, so that others may follow it. */
    boolean isCurrent() {
        return mCurrent;
    }

    /**
     * Returns whether this VM heard of changes so lately that a route which it doesn't know isn't
     * in force anywhere; any thread may call this.
     */
    boolean isUpToDate() {
        long heard =
                mCurrent ? Math.max(mHeardMillis, mFollower.lastResponseMillis()) : mHeardMillis;
        return mLoop.nowMillis() - heard <= NEWS_KEPT_MILLIS;
    }

    /** Adds what is run when there may be something new for those that follow this VM. */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mFollower.setUpToDateSince(this::newsSinceMillis);
        mReader = new StoreReader(mLoop, mStore, mPeers, mSeeds, mBackoff, mLog, this);
        mLoop.execute(this::readStore);
        mSilenceCheck = new PeriodicTask(mLoop, SILENCE_CHECK, this::leaveSilentStore);
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Reads all of the store. The first read may be answered from an older state at a tenth of the
     * price: what changed since is told by the watch that goes on from the revision of the read.
     */
    private void readStore() {
        mReader.read(mSource.isEmpty() ? Consistency.STALE_ALLOWED : Consistency.LINEARIZABLE);
    }

    @Override
    public void onSnapshot(List<StoredItem> items, long revision) {
        if (revision < mRevision) {
            // An older state than the one known here; what it lacks is known already.
            follow(mRevision);
            return;
        }
        takeAll(items, revision);
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

    private void takeAll(List<StoredItem> items, long revision) {
        noteNews();
        mMirror.load(items, revision);
        mRevision = revision;
        mFollower.applySnapshot(items);
        step();
        follow(revision);
    }

    /** Waits for the next changes, where the plan says. */
    private void follow(long revision) {
        long now = mLoop.nowMillis();
        AddressPlan plan = mFollower.view().plan();
        mFollowNumber++;
        if (plan.watchers().isEmpty() && mSource.isEmpty()) {
            // A whole fleet starts: the entries of the others are about to come.
            mLoop.schedule(LOOK_FOR_FLEET, this::readStore);
            return;
        }
        boolean storeAnswers = !mFollower.isStoreUnavailable() && !isStoreSilent();
        ChangeSource upstream = mPlan.choose(plan, storeAnswers, mHeardMillis, now);
        if (upstream instanceof ChangeSource.Vm source) {
            noteSource(source.vm().name());
            followPeer(source.vm(), revision);
            return;
        }
        long pause =
                upstream instanceof ChangeSource.RetryLater later
                        ? later.delayMillis()
                        : Math.min(LONGEST_LOOK_MILLIS, mBackoff.remainingMillis(now));
        if (pause > 0) {
            int number = mFollowNumber;
            setNotCurrent();
            mLoop.schedule(Duration.ofMillis(pause), () -> followAgain(number, revision));
            return;
        }
        noteSource(STORE);
        followStore(revision);
    }

    private boolean isStoreSilent() {
        return mLoop.nowMillis() - mFollower.lastResponseMillis() > STORE_SILENT_MILLIS;
    }

    /**
     * Guards against a store that falls silent towards this VM only. It shows as a watch that
     * simply goes on waiting, while a change is acknowledged to the operator; all that follow this
     * VM would serve by the old configuration until the watch times out. They are turned away at
     * once instead, and this VM follows another one that still hears from the store.
     */
    private Optional<Duration> leaveSilentStore() {
        if (!mCurrent) {
            return Optional.empty();
        }
        if (!isStoreSilent()) {
            return Optional.of(SILENCE_CHECK);
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_silent",
                line -> line.put("silent_ms", mLoop.nowMillis() - mFollower.lastResponseMillis()));
        setNotCurrent();
        follow(mRevision);
        return Optional.empty();
    }

    /** Returns whether this VM waits for changes at the store itself; control thread only. */
    boolean followsStore() {
        return mCurrent;
    }

    private void noteSource(String name) {
        if (name.equals(mSource)) {
            return;
        }
        String before = mSource;
        mSource = name;
        mWatch = FIRST_WATCH;
        forgetOldPeers();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "following",
                line -> line.put("source", name).put("before", before));
    }

    private void forgetOldPeers() {
        Set<Endpoint> known =
                mFollower.view().vms().stream()
                        .map(FleetVm::peerEndpoint)
                        .collect(Collectors.toSet());
        known.addAll(mSeeds);
        mPeers.retain(known);
    }

    private void followStore(long revision) {
        int number = mFollowNumber;
        StoreReader.onControlThread(
                mLoop,
                mStore.watch(StoreReader.ALL_KEYS, revision, mWatch),
                answer -> {
                    onStoreResponse();
                    lengthenWatch(answer);
                    if (number == mFollowNumber) {
                        mCurrent = true;
                        mSilenceCheck.wake();
                        take(revision, answer, this::readStore, GATHER);
                    }
                },
                failure -> {
                    if (number == mFollowNumber) {
                        onStoreFailure(failure);
                        follow(revision);
                    }
                });
    }

    private void lengthenWatch(WatchResponse answer) {
        if (answer instanceof WatchResponse.Compacted) {
            mWatch = FIRST_WATCH;
            return;
        }
        Duration longer = mWatch.multipliedBy(2);
        mWatch = longer.compareTo(STORE_WATCH) < 0 ? longer : STORE_WATCH;
    }

    /** Goes on waiting for changes, unless that was begun anew meanwhile. */
    private void followAgain(int number, long revision) {
        if (number == mFollowNumber) {
            follow(revision);
        }
    }

    private void followPeer(FleetVm peer, long revision) {
        int number = mFollowNumber;
        setNotCurrent();
        StoreReader.onControlThread(
                mLoop,
                mPeers.clientFor(peer.peerEndpoint())
                        .watch(StoreReader.ALL_KEYS, revision, PEER_WATCH),
                answer -> {
                    if (number == mFollowNumber) {
                        take(revision, answer, () -> readPeer(peer, revision), Duration.ZERO);
                    }
                },
                failure -> {
                    onPeerFailed(peer, failure);
                    followAgain(number, revision);
                });
    }

    private void onPeerFailed(FleetVm peer, Throwable failure) {
        Throwable step = Futures.unwrap(failure);
        // Without a cause the VM answered, and refused.
        Throwable cause = Futures.unwrap(step.getCause());
        if (cause instanceof TimeoutException) {
            mPlan.onTimeout(peer, mLoop.nowMillis());
        } else if (cause == null) {
            mPlan.onUnavailable(peer, mLoop.nowMillis());
        } else {
            mPlan.onConnectionFailure(peer, mLoop.nowMillis());
        }
    }

    /** Reads the copy of a VM; one that is older than what is known here is of no use. */
    private void readPeer(FleetVm peer, long revision) {
        StoreReader.onControlThread(
                mLoop,
                mPeers.clientFor(peer.peerEndpoint())
                        .range(StoreReader.ALL_KEYS, "", Consistency.STALE_ALLOWED),
                page -> {
                    if (page.revision() >= revision) {
                        takeAll(page.items(), page.revision());
                        return;
                    }
                    mPlan.onUnavailable(peer, mLoop.nowMillis());
                    readStore();
                },
                failure -> {
                    onPeerFailed(peer, failure);
                    readStore();
                });
    }

    private void noteNews() {
        long now = mLoop.nowMillis();
        if (now - mHeardMillis > NEWS_KEPT_MILLIS) {
            mNewsSinceMillis = now;
        }
        mHeardMillis = now;
    }

    /**
     * Returns since when this VM has heard of changes without a gap, in milliseconds; the greatest
     * number if it hasn't heard lately.
     */
    private long newsSinceMillis() {
        boolean recent = mLoop.nowMillis() - mHeardMillis <= NEWS_KEPT_MILLIS;
        return recent ? mNewsSinceMillis : Long.MAX_VALUE;
    }

    private void take(long revision, WatchResponse answer, Runnable readAgain, Duration pause) {
        noteNews();
        if (answer instanceof WatchResponse.Changes changes) {
            mMirror.apply(changes.events(), changes.revision());
            mFollower.applyEvents(changes.events());
            step();
            long next = Math.max(revision, changes.revision());
            mRevision = next;
            if (changes.events().isEmpty() || pause.isZero()) {
                follow(next);
            } else {
                int number = mFollowNumber;
                mLoop.schedule(pause, () -> followAgain(number, next));
            }
            return;
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "history_lost",
                line -> line.put("source", mSource).put("revision", revision));
        if (pause.isZero()) {
            readAgain.run();
        } else {
            // Guards against a store that forgets all the time: whole reads without a pause.
            mLoop.schedule(pause, readAgain);
        }
    }

    @Override
    public void onStoreFailure(Throwable failure) {
        mWatch = FIRST_WATCH;
        mBackoff.onFailure(mLoop.nowMillis());
        mFollower.onStoreFailure(failure);
        setNotCurrent();
    }

    private void setNotCurrent() {
        if (mCurrent) {
            mCurrent = false;
            step();
        }
    }

    private void step() {
        mListeners.forEach(Runnable::run);
    }
}
