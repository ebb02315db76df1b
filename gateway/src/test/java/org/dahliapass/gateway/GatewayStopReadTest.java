package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.standins.SigningTargetStandIn.ReceivedRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a read that its target has received when a VM begins a planned stop. */
public final class GatewayStopReadTest {
    private static final int DRAIN_SECONDS = 30;
    private static final int EARNING_REQUESTS = 40;

    /** All slots of both targets but one. */
    private static final int LOCKS = 5;

    /** Enough for several checks whether an attempt is lost. */
    private static final int TICKS = 100;

    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration SERVICE_TIME = Duration.ofMillis(3);

    private ManualClock mClock;
    private GatewayFixture mFixture;
    private CountDownLatch mReadResponds;
    private CountDownLatch mLocksRespond;

    @BeforeMethod
    public void start() {
        mClock = new ManualClock(Instant.ofEpochSecond(1_000));
        mReadResponds = new CountDownLatch(1);
        mLocksRespond = new CountDownLatch(1);
        mFixture =
                new GatewayFixture(
                        mClock,
                        settings ->
                                settings.replace(
                                                "stop-grace-seconds = 3.5",
                                                "stop-grace-seconds = " + DRAIN_SECONDS)
                                        + "hedge-by-age = on\n");
        configureLongTimeouts();
        earnRetries();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mReadResponds.countDown();
        mLocksRespond.countDown();
        mFixture.close();
    }

    /** Guards against 502 for a read whose target has run it, but later than the VM expected. */
    @Test(groups = "known-red")
    public void readIsNotGivenUpAfterTheStopHasBegun() {
        mFixture.mTargets.forEach(target -> target.setBehaviour(this::respondLate));
        List<CompletableFuture<String>> locks =
                IntStream.range(0, LOCKS).mapToObj(number -> send("POST /l/" + number)).toList();
        GatewayFixture.await(
                () ->
                        IntStream.range(0, LOCKS)
                                .allMatch(number -> mFixture.seen("/l/" + number) == 1));
        CompletableFuture<String> read = send("GET /r/late");
        GatewayFixture.await(() -> mFixture.seen("/r/late") == 1);
        CompletableFuture<Void> unused = mFixture.mVm.drain();
        awaitChecks();
        mLocksRespond.countDown();
        locks.forEach(lock -> assertEquals(CallerStandIn.status(lock.join()), 200));
        mReadResponds.countDown();
        assertEquals(CallerStandIn.status(read.join()), 200, log());
    }

    /** The first target answers the read late, the other one sheds it. */
    private Behaviour respondLate(ReceivedRequest request) {
        if (request.requestLine().contains("/l/")) {
            return await(mLocksRespond);
        }
        return mFixture.seen("/r/late") == 1 ? await(mReadResponds) : Behaviour.SHED;
    }

    /** Lets the VM check several times whether the target of the read still works at it. */
    private void awaitChecks() {
        int[] ticks = {0};
        GatewayFixture.await(
                () -> {
                    mClock.advance(TICK);
                    return ++ticks[0] == TICKS;
                });
    }

    private void configureLongTimeouts() {
        mFixture.mStore.put(
                "op/config",
                GatewayFixtures.configuration(2, "/r/")
                        .replace("\"safe\",1.5", "\"safe\",30")
                        .replace("\"unsafe\",1.2", "\"unsafe\",30"));
        StoreFollower follower =
                mFixture.mVm.kernel().find(StoreFollower.NAME, StoreFollower.class);
        GatewayFixture.await(
                () -> follower.view().routes().orElseThrow().configuration().version() == 2);
    }

    /** Serves requests, since further attempts are a share of them and due by their times. */
    private void earnRetries() {
        mFixture.mTargets.forEach(
                target ->
                        target.setBehaviour(
                                seen -> {
                                    mClock.advance(SERVICE_TIME);
                                    return Behaviour.RESPOND;
                                }));
        for (int number = 0; number < EARNING_REQUESTS; number++) {
            assertEquals(CallerStandIn.status(mFixture.get("/r/earn-" + number)), 200);
        }
    }

    private CompletableFuture<String> send(String line) {
        String request =
                line
                        + " HTTP/1.1\r\nHost: a.example\r\nX-Dahliapass-Attempt-Id: "
                        + line.hashCode()
                        + "\r\nX-Dahliapass-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n";
        return CompletableFuture.supplyAsync(
                () -> mFixture.caller().sendRaw(request), task -> new Thread(task).start());
    }

    private static Behaviour await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return Behaviour.RESPOND;
    }

    private String log() {
        return mFixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
