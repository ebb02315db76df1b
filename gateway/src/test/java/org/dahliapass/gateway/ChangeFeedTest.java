package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.http.EventLoops;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.VmEntry;
import org.dahliapass.platform.WatchResponse;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.traffic.EntryMetrics;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ChangeFeed} with a store whose responses are controlled by the test. */
public final class ChangeFeedTest {
    private EventLoopGroup mLoops;
    private ManualClock mClock;
    private FakeStore mStore;
    private Kernel mKernel;
    private ControlLoop mLoop;
    private ChangeFeed mFeed;
    private StoreFollower mFollower;

    @BeforeMethod
    public void start() {
        mLoops = EventLoops.singleThreaded("test");
        mClock = new ManualClock(Instant.ofEpochSecond(1_000));
        mStore = new FakeStore();
        EventLog log = new EventLog(mClock, "vm", new PrintStream(OutputStream.nullOutputStream()));
        GatewaySettings settings =
                GatewaySettings.from(
                        IniFile.parse(
                                "test", GatewayFixtures.settings(new Endpoint("127.0.0.1", 9))));
        mStore.mSelfEntry =
                StoredItem.of(
                        VmEntry.key(settings.self().name()), VmEntry.encode(settings.self()), 1);
        mLoop = new ControlLoop(mClock);
        mFollower = new StoreFollower(settings.vmsPerZone(), settings.registrationPacing(), log);
        mFeed =
                new ChangeFeed(
                        settings,
                        mStore,
                        new HttpClient(
                                mLoops, mClock, Duration.ofSeconds(1), Duration.ofSeconds(1)),
                        new SplittableRandom(1),
                        new UpdateStatus(mClock, new EntryMetrics()),
                        log);
        mKernel =
                new Kernel()
                        .register(ControlLoop.NAME, mLoop)
                        .register(StoreFollower.NAME, mFollower)
                        .register(ChangeFeed.NAME, mFeed);
        mKernel.start().join();
        GatewayFixture.await(() -> mStore.mWatchCount.get() == 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mLoop.cancelTimers().join();
        mKernel.stop().join();
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Guards against followers that miss a change for too long, because the store stopped
     * responding to the VM they follow while its watch kept waiting. The VM must reject its
     * followers well within 2 seconds.
     */
    @Test
    public void followersAreRejectedBeforeTheWatchOnASilentStoreTimesOut() {
        mStore.completeWatch(0, List.of());
        GatewayFixture.await(this::isCurrent);
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
        mClock.advance(Duration.ofMillis(1_100));
        GatewayFixture.await(() -> !isCurrent());
    }

    /**
     * Guards against changes that are missed because the first read is stale: its pages may have
     * different revisions, and the watch must start at the oldest one.
     */
    @Test
    public void firstReadIsStaleAndWatchStartsAtOldestPage() {
        assertEquals(
                mStore.mConsistencies,
                List.of(Consistency.STALE_ALLOWED, Consistency.STALE_ALLOWED));
        assertEquals(mStore.mWatchedRevisions, List.of(1L));
    }

    /**
     * Guards against a watch that starts just after the store dropped its history and learns of it
     * only at its timeout. The first watch after a failure must be short; later ones become longer.
     */
    @Test
    public void firstWatchAfterFailureIsShort() {
        long steadyMillis = 0;
        for (int number = 0; number < 5; number++) {
            mStore.completeWatch(number, List.of());
            int next = number + 2;
            GatewayFixture.await(() -> mStore.mWatchCount.get() == next);
            steadyMillis = mStore.mWatchTimeouts.get(number + 1).toMillis();
        }
        assertTrue(
                mStore.mWatchTimeouts.get(0).toMillis() <= 500, "first: " + mStore.mWatchTimeouts);
        assertTrue(steadyMillis >= 3_000, "without failures: " + mStore.mWatchTimeouts);
        mStore.mPendingWatches.get(5).completeExceptionally(new IllegalStateException("cut"));
        GatewayFixture.await(() -> advanceClock() && mStore.mWatchCount.get() == 7);
        assertTrue(
                mStore.mWatchTimeouts.get(6).toMillis() <= 500,
                "after a failure: " + mStore.mWatchTimeouts);
    }

    private boolean advanceClock() {
        mClock.advance(Duration.ofMillis(10));
        return true;
    }

    /** Removals before the compaction are visible in an up-to-date read only. */
    @Test
    public void readAfterCompactionIsLinearizable() {
        mStore.mPendingWatches
                .get(0)
                .complete(new WatchResponse.Compacted(StoreRevision.UNKNOWN_EPOCH));
        GatewayFixture.await(() -> mStore.mWatchCount.get() == 2);
        assertEquals(mStore.mConsistencies.get(2), Consistency.LINEARIZABLE);
    }

    /** A late response to an abandoned watch must be ignored. */
    @Test
    public void responseToAbandonedWatchIsIgnored() {
        mStore.completeWatch(0, List.of());
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2 && isCurrent());
        mClock.advance(Duration.ofMillis(1_100));
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 3);
        int watches = mStore.mWatchCount.get();
        mStore.completeWatch(1, List.of());
        assertTrue(mLoop.submit(() -> mStore.mWatchCount.get() == watches).join());
    }

    /**
     * Guards against a malformed entry of another writer that ends the watch loop: the number of
     * slots exceeds the range of the type.
     */
    @Test
    public void malformedEntryDoesNotEndTheFeed() {
        byte[] malformed =
                ("{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
                                + "\"state\":\"ready\",\"slots\":99999999999999}")
                        .getBytes(StandardCharsets.UTF_8);
        mStore.completeWatch(
                0,
                List.of(
                        new StoreEvent.Written(StoredItem.of("servers/odd", malformed, 2)),
                        new StoreEvent.Written(
                                StoredItem.of(
                                        ConfigurationDocument.KEY,
                                        GatewayFixtures.configuration(3, "/r/"),
                                        3))));
        GatewayFixture.await(() -> mFollower.view().routes().isPresent());
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
    }

    /**
     * Guards against a delayed write of an earlier start of a target that restores its old address.
     */
    @Test
    public void entryOfEarlierStartIsIgnored() {
        mStore.completeWatch(0, List.of(target("i-1", 2_000, 7, 2), target("i-1", 1_000, 6, 3)));
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
        assertEquals(
                mLoop.submit(() -> mFollower.targets().get("i-1").endpoint().port()).join(), 7);
    }

    @Test
    public void entryOfLaterStartReplacesEarlierOne() {
        mStore.completeWatch(0, List.of(target("i-1", 1_000, 6, 2), target("i-1", 2_000, 7, 3)));
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
        assertEquals(
                mLoop.submit(() -> mFollower.targets().get("i-1").incarnation()).join(),
                "i-1@2000");
    }

    /** A target with a malformed entry receives no requests; others are not affected. */
    @Test
    public void malformedEntryRemovesItsTarget() {
        mStore.completeWatch(
                0,
                List.of(
                        target("i-1", 1_000, 6, 2),
                        target("i-2", 1_000, 7, 3),
                        new StoreEvent.Written(StoredItem.of("servers/i-1", "no JSON", 4))));
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
        assertEquals(
                mLoop.submit(() -> List.copyOf(mFollower.targets().keySet())).join(),
                List.of("i-2"));
    }

    /** Guards against a restore that is noticed only at the end of a watch. */
    @Test
    public void storeIsReadOnceAnyResponseNamesANewerEpoch() {
        startEpoch(1);
        mStore.mEpoch = 2;
        mFeed.onStoreEpoch(2);
        GatewayFixture.await(() -> mFeed.status().revision().epoch() == 2);
        assertEquals(mStore.lastConsistency(), Consistency.LINEARIZABLE);
        int reads = mStore.mConsistencies.size();
        mFeed.onStoreEpoch(2);
        assertTrue(mLoop.submit(() -> mStore.mConsistencies.size() == reads).join());
    }

    /** Guards against changes of a restored store that are taken for a continuation. */
    @Test
    public void changesOfAnotherEpochAreNotApplied() {
        startEpoch(1);
        mStore.mEpoch = 2;
        mStore.completeLastWatch(List.of(target("i-9", 1_000, 6, 50)), 50);
        GatewayFixture.await(() -> mFeed.status().revision().epoch() == 2);
        assertEquals(mLoop.submit(() -> mFollower.targets().size()).join(), 0);
    }

    /** Guards against a delayed response from before a restore that changes the state after it. */
    @Test
    public void delayedResponseOfAnEarlierEpochIsIgnored() {
        startEpoch(1);
        int watch = mStore.mWatchCount.get() - 1;
        mStore.mEpoch = 2;
        mFeed.onStoreEpoch(2);
        GatewayFixture.await(() -> mStore.mWatchCount.get() > watch + 1);
        mStore.mPendingWatches
                .get(watch)
                .complete(
                        new WatchResponse.Changes(
                                List.of(target("i-9", 1_000, 6, 50)), new StoreRevision(1, 50)));
        int watches = mStore.mWatchCount.get();
        mStore.mEpoch = 1;
        mStore.completeLastWatch(List.of(target("i-9", 1_000, 6, 50)), 50);
        GatewayFixture.await(() -> mStore.mWatchCount.get() > watches);
        assertEquals(mLoop.submit(() -> mFollower.targets().size()).join(), 0);
        assertEquals(mFeed.status().revision().epoch(), 2);
    }

    /** Guards against a delayed read from before a restore that is taken for the new state. */
    @Test
    public void snapshotOfAnEarlierEpochIsIgnored() {
        startEpoch(1);
        mStore.mHoldsReads = true;
        mStore.mPendingWatches
                .get(mStore.mWatchCount.get() - 1)
                .complete(new WatchResponse.Compacted(1));
        GatewayFixture.await(() -> mStore.mHeldReads.size() == 1);
        mFeed.onStoreEpoch(2);
        mStore.mHoldsReads = false;
        mStore.mHeldReads.get(0).complete(mStore.page(""));
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 3);
        assertEquals(mFeed.status().revision().epoch(), 1);
        assertTrue(mFeed.status().hasMissedChanges());
        mStore.mEpoch = 2;
        mStore.completeLastWatch(List.of(), 4);
        GatewayFixture.await(() -> mFeed.status().revision().epoch() == 2);
    }

    /** Guards against a VM that reads again and again from a store that is silent to it only. */
    @Test
    public void sourceIsChosenAgainAfterAReadThatFailed() {
        startEpoch(1);
        mStore.mHoldsReads = true;
        mFeed.onStoreEpoch(2);
        GatewayFixture.await(() -> mStore.mHeldReads.size() == 1);
        int watches = mStore.mWatchCount.get();
        mStore.mHeldReads.get(0).completeExceptionally(new IllegalStateException("silent"));
        GatewayFixture.await(() -> advanceClock() && mStore.mWatchCount.get() > watches);
        assertEquals(mStore.mHeldReads.size(), 1);
    }

    /** Guards against a VM that waits for good for others to read a restored store. */
    @Test
    public void restoredStoreIsReadIfNoWatcherResponds() {
        startEpoch(1);
        mStore.completeLastWatch(
                List.of(otherVm("vm-1", 2), otherVm("vm-2", 3), otherVm("vm-3", 4)), 4);
        mStore.mEpoch = 2;
        GatewayFixture.await(
                () -> {
                    mStore.mPendingWatches.forEach(
                            watch -> watch.complete(new WatchResponse.Compacted(2)));
                    return advanceClock() && mFeed.status().revision().epoch() == 2;
                });
    }

    /** Guards against waits for one frozen watcher after the other while a change takes effect. */
    @Test
    public void storeIsAskedWhileAFrozenWatcherIsStillAwaited() {
        startEpoch(1);
        int watches = mStore.mWatchCount.get();
        // The calls to other VMs neither end nor time out.
        CompletableFuture<Void> end = new CompletableFuture<>();
        mLoops.next().execute(end::join);
        try {
            mStore.completeLastWatch(
                    List.of(otherVm("vm-1", 2), otherVm("vm-2", 3), otherVm("vm-3", 4)), 4);
            GatewayFixture.await(() -> mFeed.status().source().startsWith("vm-"));
            assertEquals(mStore.mWatchCount.get(), watches);
            mClock.advance(Duration.ofMillis(1_500));
            GatewayFixture.await(() -> mStore.mWatchCount.get() > watches);
        } finally {
            end.complete(null);
        }
    }

    /** Returns the entry of a VM that watches the store before this one, and doesn't respond. */
    private static StoreEvent otherVm(String name, long revision) {
        Endpoint closed = new Endpoint("127.0.0.1", 9);
        FleetVm vm = new FleetVm(name, "zone-a", "r", closed, closed, new VmCapacity(64, 100_000));
        return new StoreEvent.Written(
                StoredItem.of(VmEntry.key(name), VmEntry.encode(vm), revision));
    }

    /** Guards against a snapshot whose pages come from before and after a restore. */
    @Test
    public void readStartsAgainIfTheStoreIsRestoredBetweenPages() {
        startEpoch(1);
        mStore.mEpochOfSecondPage = 2;
        mFeed.onStoreEpoch(2);
        GatewayFixture.await(() -> mStore.mPagesOfAnotherEpoch.get() > 0);
        mStore.mEpoch = 2;
        GatewayFixture.await(() -> mFeed.status().revision().epoch() == 2);
        assertEquals(mFeed.status().revision(), new StoreRevision(2, 1));
    }

    /** Guards against a VM that stops following because the store stops naming its epoch. */
    @Test
    public void responsesWithoutAnEpochContinueTheCurrentOne() {
        startEpoch(1);
        mStore.mEpoch = StoreRevision.UNKNOWN_EPOCH;
        mStore.completeLastWatch(List.of(target("i-9", 1_000, 6, 4)), 4);
        GatewayFixture.await(() -> mFeed.status().revision().number() == 4);
        assertEquals(mFeed.status().revision(), new StoreRevision(1, 4));
        assertEquals(mLoop.submit(() -> mFollower.targets().size()).join(), 1);
    }

    /** Guards against a VM that stops following because one response named a wrong epoch. */
    @Test
    public void wrongEpochIsForgottenAfterARead() {
        startEpoch(1);
        int watches = mStore.mWatchCount.get();
        mFeed.onStoreEpoch(99);
        GatewayFixture.await(() -> mStore.mWatchCount.get() > watches);
        assertFalse(mFeed.status().hasMissedChanges());
        mStore.completeLastWatch(List.of(target("i-9", 1_000, 6, 7)), 7);
        GatewayFixture.await(() -> mFeed.status().revision().number() == 7);
        assertEquals(mFeed.status().revision().epoch(), 1);
    }

    /** Guards against a VM that ignores for good a store that went back without a new epoch. */
    @Test
    public void storeThatWentBackUnannouncedIsFollowed() {
        startEpoch(1);
        mStore.completeLastWatch(List.of(target("i-9", 1_000, 6, 70)), 70);
        GatewayFixture.await(() -> mFeed.status().revision().number() == 70);
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 3);
        mStore.mPendingWatches
                .get(mStore.mWatchCount.get() - 1)
                .complete(new WatchResponse.Compacted(1));
        GatewayFixture.await(() -> mFeed.status().revision().equals(new StoreRevision(1, 1)));
    }

    /** Lets the store name an epoch, and waits until the feed watches it in that epoch. */
    private void startEpoch(long epoch) {
        mStore.mEpoch = epoch;
        mStore.completeWatch(0, List.of());
        GatewayFixture.await(() -> mFeed.status().revision().epoch() == epoch);
        GatewayFixture.await(() -> mStore.mWatchCount.get() >= 2);
    }

    private static StoreEvent target(String name, long startedMillis, int port, long revision) {
        String entry =
                "{\"service\":\"x\",\"address\":\"10.0.0.1:"
                        + port
                        + "\",\"zone\":\"z\",\"state\":\"ready\",\"slots\":3,\"born\":"
                        + startedMillis
                        + "}";
        return new StoreEvent.Written(StoredItem.of("servers/" + name, entry, revision));
    }

    private boolean isCurrent() {
        return mLoop.submit(mFeed::isCurrent).join();
    }

    /** A store whose watches complete only when the test responds to them. */
    private static final class FakeStore implements KeyValueStore {
        private final AtomicInteger mWatchCount = new AtomicInteger();
        private final List<CompletableFuture<WatchResponse>> mPendingWatches =
                new CopyOnWriteArrayList<>();
        private final List<Consistency> mConsistencies = new CopyOnWriteArrayList<>();
        private final List<Long> mWatchedRevisions = new CopyOnWriteArrayList<>();
        private final List<Duration> mWatchTimeouts = new CopyOnWriteArrayList<>();
        private final List<CompletableFuture<RangePage>> mHeldReads = new CopyOnWriteArrayList<>();
        private final AtomicInteger mPagesOfAnotherEpoch = new AtomicInteger();
        private volatile StoredItem mSelfEntry;
        private volatile long mEpoch = StoreRevision.UNKNOWN_EPOCH;
        private volatile long mEpochOfSecondPage = StoreRevision.UNKNOWN_EPOCH;
        private volatile boolean mHoldsReads;

        private void completeWatch(int number, List<StoreEvent> events) {
            completeWatch(number, events, 3 + events.size());
        }

        private void completeLastWatch(List<StoreEvent> events, long revision) {
            completeWatch(mWatchCount.get() - 1, events, revision);
        }

        private void completeWatch(int number, List<StoreEvent> events, long revision) {
            mPendingWatches
                    .get(number)
                    .complete(
                            new WatchResponse.Changes(events, new StoreRevision(mEpoch, revision)));
        }

        private Consistency lastConsistency() {
            return mConsistencies.get(mConsistencies.size() - 1);
        }

        /** Returns a page; the second one has an older revision. */
        private RangePage page(String after) {
            if (after.isEmpty()) {
                return new RangePage(List.of(mSelfEntry), true, new StoreRevision(mEpoch, 3));
            }
            boolean isOther = mEpochOfSecondPage > mEpoch;
            if (isOther) {
                mPagesOfAnotherEpoch.incrementAndGet();
            }
            return new RangePage(
                    List.of(), false, new StoreRevision(isOther ? mEpochOfSecondPage : mEpoch, 1));
        }

        @Override
        public CompletableFuture<RangePage> range(
                String prefix, String after, Consistency consistency) {
            mConsistencies.add(consistency);
            if (mHoldsReads) {
                CompletableFuture<RangePage> held = new CompletableFuture<>();
                mHeldReads.add(held);
                return held;
            }
            return CompletableFuture.completedFuture(page(after));
        }

        @Override
        public CompletableFuture<WatchResponse> watch(
                String prefix, StoreRevision revision, Duration wait) {
            CompletableFuture<WatchResponse> response = new CompletableFuture<>();
            mWatchedRevisions.add(revision.number());
            mWatchTimeouts.add(wait);
            mPendingWatches.add(response);
            mWatchCount.incrementAndGet();
            return response;
        }

        @Override
        public CompletableFuture<Boolean> put(String key, byte[] value, long lease) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> grantLease(Duration timeToLive) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> revokeLease(long lease) {
            return new CompletableFuture<>();
        }
    }
}
