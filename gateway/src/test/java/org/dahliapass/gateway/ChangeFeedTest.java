package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
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
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.VmEntry;
import org.dahliapass.platform.WatchResponse;
import org.dahliapass.standins.GatewaySample;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ChangeFeed} over a store that answers only what a test lets it answer. */
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
                                "test", GatewaySample.settings(new Endpoint("127.0.0.1", 9))));
        mStore.mSelf =
                StoredItem.of(
                        VmEntry.key(settings.self().name()), VmEntry.encode(settings.self()), 1);
        mLoop = new ControlLoop(mClock);
        mFollower = new StoreFollower(settings.vmsPerZone(), log);
        mFeed =
                new ChangeFeed(
                        settings,
                        mStore,
                        new HttpClient(
                                mLoops, mClock, Duration.ofSeconds(1), Duration.ofSeconds(1)),
                        new SplittableRandom(1),
                        log);
        mKernel =
                new Kernel()
                        .register(ControlLoop.NAME, mLoop)
                        .register(StoreFollower.NAME, mFollower)
                        .register(ChangeFeed.NAME, mFeed);
        mKernel.start().join();
        GatewayFixture.await(() -> mStore.mWatches.get() == 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mLoop.cancelTimers().join();
        mKernel.stop().join();
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Callers get 404 for a new route long after the operator's change was acknowledged. The store
     * falls silent towards the VM that all others follow; its watch just goes on waiting, so the
     * others take the silence for peace. It has to turn them away within well under 2 seconds.
     */
    @Test
    public void storeThatFallsSilentIsLeftBeforeItsWatchTimesOut() {
        mStore.answerWatch(0, List.of());
        GatewayFixture.await(this::isCurrent);
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2);
        mClock.advance(Duration.ofMillis(1_100));
        GatewayFixture.await(() -> !isCurrent());
    }

    /**
     * Callers get 404 for a route whose change was acknowledged before the VM started. Its first
     * read may be answered from an older state, and each page from another one; the watch goes on
     * from the oldest of them, so that what the read lacks is told.
     */
    @Test
    public void firstReadMayBeOldAndTheWatchGoesOnFromItsOldestPage() {
        assertEquals(
                mStore.mFreshness, List.of(Consistency.STALE_ALLOWED, Consistency.STALE_ALLOWED));
        assertEquals(mStore.mWatched, List.of(1L));
    }

    /**
     * Callers get 404 for a new route 4 seconds after its change was acknowledged. The store drops
     * its history: it cuts all watches, and one that begins just then hears nothing until its wait
     * is over and is told only then that the history is gone. So the first watch after trouble is
     * short, and only a store that goes on answering is asked for long ones.
     */
    @Test
    public void watchAfterTroubleIsShort() {
        long longest = 0;
        for (int number = 0; number < 5; number++) {
            mStore.answerWatch(number, List.of());
            int next = number + 2;
            GatewayFixture.await(() -> mStore.mWatches.get() == next);
            longest = mStore.mWaits.get(number + 1).toMillis();
        }
        assertTrue(mStore.mWaits.get(0).toMillis() <= 500, "first: " + mStore.mWaits);
        assertTrue(longest >= 3_000, "steady: " + mStore.mWaits);
        mStore.mWaiting.get(5).completeExceptionally(new IllegalStateException("cut"));
        GatewayFixture.await(() -> passTime() && mStore.mWatches.get() == 7);
        assertTrue(mStore.mWaits.get(6).toMillis() <= 500, "after trouble: " + mStore.mWaits);
    }

    private boolean passTime() {
        mClock.advance(Duration.ofMillis(10));
        return true;
    }

    /** After a loss of history what was removed meanwhile is known from a current read only. */
    @Test
    public void readAfterALossOfHistoryIsCurrent() {
        mStore.mWaiting.get(0).complete(new WatchResponse.Compacted());
        GatewayFixture.await(() -> mStore.mWatches.get() == 2);
        assertEquals(mStore.mFreshness.get(2), Consistency.LINEARIZABLE);
    }

    /** The watch that was left behind is answered after all: its news must not start a second. */
    @Test
    public void answerOfAnAbandonedWatchStartsNoSecondOne() {
        mStore.answerWatch(0, List.of());
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2 && isCurrent());
        mClock.advance(Duration.ofMillis(1_100));
        GatewayFixture.await(() -> mStore.mWatches.get() >= 3);
        int watches = mStore.mWatches.get();
        mStore.answerWatch(1, List.of());
        assertTrue(mLoop.submit(() -> mStore.mWatches.get() == watches).join());
    }

    /**
     * All VMs stop hearing of changes for good. An entry of another writer holds a number that fits
     * no type of ours; reading it throws, and the loop that waits for changes ends with it.
     */
    @Test
    public void entryThatCannotBeReadDoesNotEndTheFeed() {
        byte[] odd =
                ("{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
                                + "\"state\":\"ready\",\"slots\":99999999999999}")
                        .getBytes(StandardCharsets.UTF_8);
        mStore.answerWatch(
                0,
                List.of(
                        new StoreEvent.Written(StoredItem.of("servers/odd", odd, 2)),
                        new StoreEvent.Written(
                                StoredItem.of(
                                        ConfigurationDocument.KEY,
                                        GatewaySample.configuration(3, "/r/"),
                                        3))));
        GatewayFixture.await(() -> mFollower.view().routes().isPresent());
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2);
    }

    /**
     * Locks go to an address that is over. A target started again under its name, and an entry of
     * the start before reaches the store late; it must change nothing.
     */
    @Test
    public void entryOfAnEarlierStartChangesNothing() {
        mStore.answerWatch(0, List.of(target("i-1", 2_000, 7, 2), target("i-1", 1_000, 6, 3)));
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2);
        assertEquals(
                mLoop.submit(() -> mFollower.targets().get("i-1").endpoint().port()).join(), 7);
    }

    @Test
    public void entryOfALaterStartReplacesTheEarlierOne() {
        mStore.answerWatch(0, List.of(target("i-1", 1_000, 6, 2), target("i-1", 2_000, 7, 3)));
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2);
        assertEquals(
                mLoop.submit(() -> mFollower.targets().get("i-1").incarnation()).join(),
                "i-1@2000");
    }

    /** A target whose entry can't be read any more gets no work; the others go on. */
    @Test
    public void entryThatBecomesUnreadableNamesNobody() {
        mStore.answerWatch(
                0,
                List.of(
                        target("i-1", 1_000, 6, 2),
                        target("i-2", 1_000, 7, 3),
                        new StoreEvent.Written(StoredItem.of("servers/i-1", "no JSON", 4))));
        GatewayFixture.await(() -> mStore.mWatches.get() >= 2);
        assertEquals(
                mLoop.submit(() -> List.copyOf(mFollower.targets().keySet())).join(),
                List.of("i-2"));
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

    /** A store whose watches wait until a test answers them, and never time out. */
    private static final class FakeStore implements KeyValueStore {
        private final AtomicInteger mWatches = new AtomicInteger();
        private final List<CompletableFuture<WatchResponse>> mWaiting =
                new CopyOnWriteArrayList<>();
        private final List<Consistency> mFreshness = new CopyOnWriteArrayList<>();
        private final List<Long> mWatched = new CopyOnWriteArrayList<>();
        private final List<Duration> mWaits = new CopyOnWriteArrayList<>();
        private volatile StoredItem mSelf;

        private void answerWatch(int number, List<StoreEvent> events) {
            mWaiting.get(number).complete(new WatchResponse.Changes(events, 3 + events.size()));
        }

        /** Two pages, of which the second comes from an older state. */
        @Override
        public CompletableFuture<RangePage> range(
                String prefix, String after, Consistency freshness) {
            mFreshness.add(freshness);
            RangePage page =
                    after.isEmpty()
                            ? new RangePage(List.of(mSelf), true, 3)
                            : new RangePage(List.of(), false, 1);
            return CompletableFuture.completedFuture(page);
        }

        @Override
        public CompletableFuture<WatchResponse> watch(String prefix, long revision, Duration wait) {
            CompletableFuture<WatchResponse> answer = new CompletableFuture<>();
            mWatched.add(revision);
            mWaits.add(wait);
            mWaiting.add(answer);
            mWatches.incrementAndGet();
            return answer;
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
