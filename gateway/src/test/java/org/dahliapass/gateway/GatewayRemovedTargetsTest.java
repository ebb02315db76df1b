package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.testng.annotations.Test;

/** Tests which targets get requests after their entries are missing in the store. */
public final class GatewayRemovedTargetsTest {
    private static final int MORE_TARGETS = 4;
    private static final Duration OUTAGE = Duration.ofSeconds(2);
    private static final Duration GRACE = Duration.ofMillis(2_100);

    /** Guards against targets that get requests after they have left, because others left, too. */
    @Test
    public void targetsThatLeaveTogetherGetNoRequests() {
        try (GatewayFixture fixture = new GatewayFixture(new ManualClock(Instant.EPOCH))) {
            List<SigningTargetStandIn> targets = startMore(fixture);
            targets.forEach(target -> fixture.mStore.remove(target.key()));
            // The clock stands still, so that no time is given to the targets.
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/r/after")) == 503);
            stop(fixture, targets);
        }
    }

    /** Guards against a service without targets after their entries expired in an outage. */
    @Test
    public void targetsWhoseEntriesExpiredInAnOutageGetRequests() {
        ManualClock clock = new ManualClock(Instant.EPOCH);
        try (GatewayFixture fixture = new GatewayFixture(clock)) {
            List<SigningTargetStandIn> targets = startMore(fixture);
            fixture.mStore.setUnavailable(true);
            GatewayFixture.await(() -> log(fixture).contains("store_lost"));
            clock.advance(OUTAGE);
            targets.forEach(target -> fixture.mStore.remove(target.key()));
            fixture.mStore.setUnavailable(false);
            GatewayFixture.await(() -> log(fixture).contains("entries_removed"));
            for (int number = 0; number < targets.size(); number++) {
                assertEquals(CallerStandIn.status(fixture.get("/r/after-" + number)), 200);
            }
            clock.advance(GRACE);
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/r/later")) == 503);
            stop(fixture, targets);
        }
    }

    /** Guards against a VM that takes the time before its start for an outage of the store. */
    @Test
    public void vmLearnsFromAnotherOneSinceWhenTheStoreAnswers() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            long startMillis = new MonotonicClock().millis();
            fleet.startUnadvertisedVm();
            GatewayFixture.await(
                    () ->
                            fleet.answerPeriod(1)
                                    .filter(period -> period.sinceMillis() < startMillis)
                                    .isPresent());
        }
    }

    /** Registers more targets and waits until the VM knows them. */
    private static List<SigningTargetStandIn> startMore(GatewayFixture fixture) {
        List<SigningTargetStandIn> targets = new ArrayList<>(fixture.mTargets);
        IntStream.range(0, MORE_TARGETS)
                .mapToObj(number -> new SigningTargetStandIn("i-more-" + number))
                .forEach(targets::add);
        for (SigningTargetStandIn target :
                targets.subList(fixture.mTargets.size(), targets.size())) {
            target.start();
            fixture.mStore.put(target.key(), target.registration("x", "ready"));
        }
        GatewayFixture.await(() -> knownTargets(fixture) == targets.size());
        return targets;
    }

    private static int knownTargets(GatewayFixture fixture) {
        Kernel kernel = fixture.mVm.kernel();
        StoreFollower follower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        return kernel.find(ControlLoop.NAME, ControlLoop.class)
                .submit(() -> follower.targets().size())
                .join();
    }

    private static void stop(GatewayFixture fixture, List<SigningTargetStandIn> targets) {
        targets.subList(fixture.mTargets.size(), targets.size())
                .forEach(SigningTargetStandIn::close);
    }

    private static String log(GatewayFixture fixture) {
        return fixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
