package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.decisions.routing.UpstreamPlan;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.HttpKeyValueStore;
import org.dahliapass.platform.KeyValueStore;
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

    /**
     * How long the store holds a watch. A connection that went silent without a reset is noticed
     * only after this time and the client's timeout, and news are as late.
     */
    private static final Duration STORE_WATCH = Duration.ofMillis(1_500);

    /**
     * The same for a VM that is followed: it may lose power, and news must come within 2 seconds.
     */
    private static final Duration PEER_WATCH = Duration.ofMillis(900);

    /** VMs answer within a few milliseconds; one that is busy or frozen is passed over. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(400);

    private static final long PEER_PAUSE_MILLIS = 3_000;

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
     * The pause after a failed call; with the jitter, 40 VMs ask a store that is away 80 times/s.
     */
    private static final Duration PAUSE = Duration.ofMillis(350);

    private static final int PAUSE_JITTER_MILLIS = 300;

    private final KeyValueStore mStore;
    private final HttpClient mClient;
    private final RandomGenerator mRandom;
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
        mRandom = random;
        mLog = log;
        mSeeds = settings.seeds();
        mPlan = new UpstreamPlan(settings.self(), PEER_PAUSE_MILLIS);
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

    private void readStore() {
        readPage(new ArrayList<>(), -1, "");
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
                clientOf(seed).range(EVERYTHING, ""),
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
                Duration.ZERO,
                this::readStore);
    }

    private void readPage(List<StoredItem> items, long firstRevision, String after) {
        onControl(
                mStore.range(EVERYTHING, after),
                page -> takePage(items, firstRevision, page),
                this::onStoreFailed,
                pause(),
                this::readSeed);
    }

    /**
     * Pages aren't a snapshot, so the watch begins at the first page's revision: what changed while
     * the later pages were read is told once more.
     */
    private void takePage(List<StoredItem> items, long firstRevision, RangePage page) {
        mFollower.onAnswer();
        long revision = firstRevision < 0 ? page.revision() : firstRevision;
        items.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            readPage(items, revision, page.items().get(page.items().size() - 1).key());
            return;
        }
        takeAll(items, revision);
    }

    private void takeAll(List<StoredItem> items, long revision) {
        mMirror.reset(items, revision);
        mRevision = revision;
        mFollower.takeAll(items);
        step();
        follow(revision);
    }

    /** Waits for the next changes, where the plan says. */
    private void follow(long revision) {
        boolean storeAnswers = !mFollower.isAway() && !isStoreSilent();
        Optional<FleetVm> source =
                mPlan.source(mFollower.view().plan(), storeAnswers, mLoop.nowMillis());
        noteSource(source);
        mFollowNumber++;
        if (source.isPresent()) {
            followPeer(source.get(), revision);
        } else {
            followStore(revision);
        }
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

    private void noteSource(Optional<FleetVm> source) {
        String name = source.map(FleetVm::name).orElse("store");
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
                    mFollower.onAnswer();
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
                pause(),
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
        Consumer<Throwable> onFailure = failure -> mPlan.onFailed(peer, mLoop.nowMillis());
        onControl(
                client.watch(EVERYTHING, revision, PEER_WATCH),
                answer -> {
                    if (number == mFollowNumber) {
                        take(revision, answer, () -> readPeer(peer, revision), Duration.ZERO);
                    }
                },
                onFailure,
                Duration.ZERO,
                () -> followAgain(number, revision));
    }

    /** Reads the copy of a VM; one that is older than what is known here is of no use. */
    private void readPeer(FleetVm peer, long revision) {
        onControl(
                clientOf(peer.peers()).range(EVERYTHING, ""),
                page -> {
                    if (page.revision() >= revision) {
                        takeAll(page.items(), page.revision());
                        return;
                    }
                    mPlan.onFailed(peer, mLoop.nowMillis());
                    readStore();
                },
                failure -> mPlan.onFailed(peer, mLoop.nowMillis()),
                Duration.ZERO,
                this::readStore);
    }

    private KeyValueStore clientOf(Endpoint peer) {
        return mPeers.computeIfAbsent(
                peer, endpoint -> new HttpKeyValueStore(endpoint, PEER_TIMEOUT, mClient));
    }

    private void take(long revision, WatchAnswer answer, Runnable readAgain, Duration pause) {
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
        readAgain.run();
    }

    private void onStoreFailed(Throwable failure) {
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
            Duration pause,
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
                                    mLoop.after(pause, again);
                                }));
    }

    private Duration pause() {
        return PAUSE.plusMillis(mRandom.nextInt(PAUSE_JITTER_MILLIS));
    }
}
