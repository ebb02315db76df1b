package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.StoreBackoff;
import org.dahliapass.decisions.routing.Upstream;
import org.dahliapass.decisions.routing.UpstreamPlan;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.kernel.StepException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.HttpKeyValueStore;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Freshness;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchAnswer;

/**
 * Reads the store once and follows its changes from there on, directly or through another VM.
 *
 * <p>All state belongs to the control thread.
 */
final class ChangeFeed implements KernelService {
    /** The name under which the kernel holds the feed. */
    static final String NAME = "change-feed";

    /** All keys: one watch instead of one for each kind of key. */
    private static final String EVERYTHING = "";

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
     * The same for a VM that is followed: it may lose power, and news must come within 2 seconds.
     */
    private static final Duration PEER_WATCH = Duration.ofMillis(900);

    /** VMs answer within a few milliseconds; one that is busy or frozen is passed over. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(400);

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

    /** How soon a VM that knows of nobody who watches the store reads it again, for its peers. */
    private static final Duration LOOK_FOR_FLEET = Duration.ofSeconds(1);

    private final KeyValueStore mStore;
    private final HttpClient mClient;
    private final StoreBackoff mBackoff;
    private final EventLog mLog;
    private final UpstreamPlan mPlan;
    private final StoreMirror mMirror = new StoreMirror();
    private final Map<Endpoint, KeyValueStore> mPeers = new HashMap<>();
    private final List<Endpoint> mSeeds;
    private final List<Runnable> mListeners = new ArrayList<>();
    private ControlLoop mLoop;
    private PeriodicTask mSilenceCheck;
    private StoreFollower mFollower;
    private boolean mCurrent;
    private String mSource = "";

    /** When this VM last heard from the store or from a VM that watches it, in milliseconds. */
    private long mHeardMillis = Long.MIN_VALUE / 2;

    /** Whether nobody is known who watches the store. */
    private boolean mLooksForFleet;

    /** The store's revision up to which everything was taken. */
    private long mRevision;

    /** Counts the calls that wait for changes: an answer to an abandoned one says nothing. */
    private int mFollowNumber;

    private int mNextSeed;

    ChangeFeed(
            GatewaySettings settings,
            KeyValueStore store,
            HttpClient client,
            RandomGenerator random,
            EventLog log) {
        mStore = store;
        mClient = client;
        mBackoff = new StoreBackoff(random);
        mLog = log;
        mSeeds = settings.seeds();
        mPlan = new UpstreamPlan(settings.self());
    }

    /** Returns the copy of the store. */
    StoreMirror mirror() {
        return mMirror;
    }

    /** Returns whether the copy is kept up by the store itself, so that others may follow it. */
    boolean isCurrent() {
        return mCurrent;
    }

    /** Adds what is run when there may be something new for those that follow this VM. */
    void onStep(Runnable listener) {
        mListeners.add(listener);
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mLoop.execute(this::readStore);
        mSilenceCheck = new PeriodicTask(mLoop, SILENCE_CHECK, this::leaveSilentStore);
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Reads all of the store. The first read may be answered from an older state at a tenth of the
     * price: what changed since is told by the watch that goes on from the revision of the read.
     */
    private void readStore() {
        Freshness freshness =
                mMirror.isFilled() && mRevision > 0 && !mLooksForFleet
                        ? Freshness.CURRENT
                        : Freshness.PERHAPS_OLD;
        readPage(new ArrayList<>(), Long.MAX_VALUE, "", freshness);
    }

    /**
     * Reads the copy of a VM that may be there, so that a VM which starts while the store is away
     * serves by what the fleet knew last. The store is asked again if none answers.
     */
    private void readSeed() {
        if (mMirror.isFilled() || mSeeds.isEmpty()) {
            readStore();
            return;
        }
        Endpoint seed = mSeeds.get(mNextSeed++ % mSeeds.size());
        onControl(
                clientOf(seed).range(EVERYTHING, "", Freshness.PERHAPS_OLD),
                page -> {
                    mLog.write(
                            EventLog.Kind.DEPENDENCY,
                            "copy_read",
                            line -> line.put("seed", seed.toString()));
                    takeAll(page.items(), page.revision());
                },
                failure ->
                        mLog.write(
                                EventLog.Kind.DEPENDENCY,
                                "seed_silent",
                                line -> line.put("seed", seed.toString())),
                this::backoff,
                this::readStore);
    }

    private void readPage(
            List<StoredItem> items, long oldestRevision, String after, Freshness freshness) {
        onControl(
                mStore.range(EVERYTHING, after, freshness),
                page -> takePage(items, oldestRevision, page, freshness),
                this::onStoreFailed,
                this::backoff,
                this::readSeed);
    }

    /**
     * Pages aren't a snapshot, and an older state may answer a later page than the first: the watch
     * begins at the oldest revision of all, and what changed since is told once more.
     */
    private void takePage(
            List<StoredItem> items, long oldestRevision, RangePage page, Freshness freshness) {
        onStoreAnswered();
        long revision = Math.min(oldestRevision, page.revision());
        items.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(items, revision, page.items().get(page.items().size() - 1).key(), freshness);
            return;
        }
        if (revision < mRevision) {
            // An older state than the one known here; what it lacks is known already.
            follow(mRevision);
            return;
        }
        takeAll(items, revision);
    }

    private void onStoreAnswered() {
        mBackoff.onAnswer();
        mFollower.onAnswer();
    }

    private Duration backoff() {
        return Duration.ofMillis(mBackoff.remainingMillis(mLoop.nowMillis()));
    }

    private void takeAll(List<StoredItem> items, long revision) {
        mHeardMillis = mLoop.nowMillis();
        mMirror.reset(items, revision);
        mRevision = revision;
        mFollower.takeAll(items);
        step();
        follow(revision);
    }

    /** Waits for the next changes, where the plan says. */
    private void follow(long revision) {
        long now = mLoop.nowMillis();
        AddressPlan plan = mFollower.view().plan();
        mFollowNumber++;
        mLooksForFleet = plan.watchers().isEmpty();
        if (mLooksForFleet) {
            // A whole fleet starts: the entries of the others are about to come.
            mLoop.after(LOOK_FOR_FLEET, this::readStore);
            return;
        }
        boolean storeAnswers = !mFollower.isAway() && !isStoreSilent();
        Upstream upstream = mPlan.choose(plan, storeAnswers, mHeardMillis, now);
        if (upstream instanceof Upstream.Vm source) {
            noteSource(source.vm().name());
            followPeer(source.vm(), revision);
            return;
        }
        long pause =
                upstream instanceof Upstream.Later later
                        ? later.millis()
                        : Math.min(LONGEST_LOOK_MILLIS, mBackoff.remainingMillis(now));
        if (pause > 0) {
            int number = mFollowNumber;
            setNotCurrent();
            mLoop.after(Duration.ofMillis(pause), () -> followAgain(number, revision));
            return;
        }
        noteSource(STORE);
        followStore(revision);
    }

    private boolean isStoreSilent() {
        return mLoop.nowMillis() - mFollower.heardMillis() > STORE_SILENT_MILLIS;
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
                line -> line.put("silent_ms", mLoop.nowMillis() - mFollower.heardMillis()));
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
        forgetOldPeers();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "following",
                line -> line.put("source", name).put("before", before));
    }

    private void forgetOldPeers() {
        Set<Endpoint> known =
                mFollower.view().vms().stream().map(FleetVm::peers).collect(Collectors.toSet());
        known.addAll(mSeeds);
        mPeers.keySet().retainAll(known);
    }

    private void followStore(long revision) {
        int number = mFollowNumber;
        onControl(
                mStore.watch(EVERYTHING, revision, STORE_WATCH),
                answer -> {
                    onStoreAnswered();
                    if (number == mFollowNumber) {
                        mCurrent = true;
                        mSilenceCheck.wake();
                        take(revision, answer, this::readStore, GATHER);
                    }
                },
                failure -> {
                    if (number == mFollowNumber) {
                        onStoreFailed(failure);
                    }
                },
                this::backoff,
                () -> followAgain(number, revision));
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
        KeyValueStore client = clientOf(peer.peers());
        onControl(
                client.watch(EVERYTHING, revision, PEER_WATCH),
                answer -> {
                    if (number == mFollowNumber) {
                        take(revision, answer, () -> readPeer(peer, revision), Duration.ZERO);
                    }
                },
                failure -> onPeerFailed(peer, failure),
                () -> Duration.ZERO,
                () -> followAgain(number, revision));
    }

    private void onPeerFailed(FleetVm peer, Throwable failure) {
        boolean silent =
                Futures.cause(failure) instanceof StepException step
                        && Futures.cause(step.getCause()) instanceof TimeoutException;
        if (silent) {
            mPlan.onSilent(peer, mLoop.nowMillis());
        } else {
            mPlan.onRefused(peer, mLoop.nowMillis());
        }
    }

    /** Reads the copy of a VM; one that is older than what is known here is of no use. */
    private void readPeer(FleetVm peer, long revision) {
        onControl(
                clientOf(peer.peers()).range(EVERYTHING, "", Freshness.PERHAPS_OLD),
                page -> {
                    if (page.revision() >= revision) {
                        takeAll(page.items(), page.revision());
                        return;
                    }
                    mPlan.onRefused(peer, mLoop.nowMillis());
                    readStore();
                },
                failure -> onPeerFailed(peer, failure),
                () -> Duration.ZERO,
                this::readStore);
    }

    private KeyValueStore clientOf(Endpoint peer) {
        return mPeers.computeIfAbsent(
                peer, endpoint -> new HttpKeyValueStore(endpoint, PEER_TIMEOUT, mClient));
    }

    private void take(long revision, WatchAnswer answer, Runnable readAgain, Duration pause) {
        mHeardMillis = mLoop.nowMillis();
        if (answer instanceof WatchAnswer.Changes changes) {
            mMirror.apply(changes.events(), changes.revision());
            mFollower.takeEvents(changes.events());
            step();
            long next = Math.max(revision, changes.revision());
            mRevision = next;
            if (changes.events().isEmpty() || pause.isZero()) {
                follow(next);
            } else {
                int number = mFollowNumber;
                mLoop.after(pause, () -> followAgain(number, next));
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
            mLoop.after(pause, readAgain);
        }
    }

    private void onStoreFailed(Throwable failure) {
        mBackoff.onFailure(mLoop.nowMillis());
        mFollower.onFailure(failure);
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

    /** Goes on with an answer on the control thread; after a failure tries again after a pause. */
    private <T> void onControl(
            CompletableFuture<T> call,
            Consumer<T> next,
            Consumer<Throwable> onFailure,
            Supplier<Duration> pause,
            Runnable again) {
        Futures.whenDone(
                call,
                (answer, failure) ->
                        mLoop.execute(
                                () -> {
                                    if (failure == null) {
                                        next.accept(answer);
                                        return;
                                    }
                                    onFailure.accept(failure);
                                    mLoop.after(pause.get(), again);
                                }));
    }
}
