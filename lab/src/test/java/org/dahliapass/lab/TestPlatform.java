package org.dahliapass.lab;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.configuration.AcceptProtocol;
import org.dahliapass.decisions.configuration.AcceptRequest;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.model.ServiceId;
import org.dahliapass.registry.ConfigurationStore;
import org.dahliapass.registry.HttpStoreClient;
import org.dahliapass.standins.StoreStandIn;
import org.dahliapass.standins.TargetFaults;
import org.dahliapass.standins.TargetSettings;
import org.dahliapass.standins.TargetStandIn;
import org.dahliapass.standins.VmListStandIn;

/** The store, the VM list and the targets of a failure test, on loopback in the test's process. */
final class TestPlatform implements AutoCloseable {
    /** The timeout of every wait in a test. */
    static final Duration LIMIT = Duration.ofSeconds(60);

    private static final ServiceId DESK = new ServiceId("himal", "desk");
    private static final int CELL_SIZE = 6;
    private static final long POLL_MILLIS = 20;
    private static final Executor POLL_EXECUTOR =
            CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);

    private final Clock mClock = new MonotonicClock();
    private final StoreStandIn mStore = new StoreStandIn(0, mClock, new SplittableRandom(1));
    private final VmListStandIn mVmList = new VmListStandIn(0, mClock);
    private final List<TargetStandIn> mTargets = new ArrayList<>();
    private final Duration mDiscoveryTimeToLive;

    /** Starts the platform with targets of 3 slots and a service time of 2 ms. */
    TestPlatform(int targets, Duration discoveryTimeToLive) {
        mDiscoveryTimeToLive = discoveryTimeToLive;
        mStore.start();
        mVmList.start();
        for (int number = 0; number < targets; number++) {
            TargetSettings settings = new TargetSettings(3, 2, 0, number + 1);
            TargetStandIn target = new TargetStandIn(0, settings, mClock);
            target.start();
            mTargets.add(target);
        }
    }

    /** Returns the settings of a VM; its number determines its zone. */
    String settings(int number) {
        return String.join(
                "\n",
                "[vm]",
                "fleet = test",
                "name = vm-" + number,
                "availability-zone = zone-" + (number % 3),
                "address = 127.0.0.1",
                "callers-port = 0",
                "peers-port = 0",
                "operators-port = 0",
                "[platform]",
                "store = " + mStore.endpoint(),
                "vm-list = " + mVmList.endpoint(),
                "announce = yes",
                "[control]",
                "ask-time-to-live = " + mDiscoveryTimeToLive.toSeconds() + "s",
                "gossip-period = 200ms",
                "control-period = 50ms");
    }

    /** Returns the text of the template of {@code himal}; the deadline distinguishes revisions. */
    String template(String deadline) {
        List<String> targets = new ArrayList<>();
        for (TargetStandIn target : mTargets) {
            targets.add(target.endpoint() + "@zone-" + (targets.size() % 3));
        }
        return String.join(
                "\n",
                "[template]",
                "customer = himal",
                "[service desk]",
                "targets = " + String.join(", ", targets),
                "slots = 3",
                "connections = 350",
                "health-path = /health",
                "load-path = /load",
                "false-ejection-tolerance = 0.001",
                "slow-factor = 4",
                "floor = 50%",
                "cell = " + CELL_SIZE,
                "failure-share = 50%",
                "[kind desk listing]",
                "method = GET",
                "path = /listings/**",
                "idempotent = yes",
                "deadline = " + deadline,
                "retry-budget = 20%",
                "[kind desk sign-off]",
                "method = POST",
                "path = /sign-offs/**",
                "idempotent = no",
                "deadline = 30s",
                "patience = 10s",
                "");
    }

    /** Accepts a template of {@code himal} as an operator would. */
    AcceptOutcome accept(String text, long base) {
        return accept("himal", text, new ServiceUse(DESK, CELL_SIZE), base);
    }

    /** Accepts the template of a customer that uses {@code himal}'s desk at a limited rate. */
    AcceptOutcome acceptUser(String customer, int ratePerSecond) {
        String text =
                String.join(
                        "\n",
                        "[template]",
                        "customer = " + customer,
                        "[service desk]",
                        "provider = himal",
                        "[kind desk listing]",
                        "method = GET",
                        "path = /listings/**",
                        "idempotent = yes",
                        "deadline = 30s",
                        "rate = " + ratePerSecond,
                        "");
        return accept(customer, text, new ServiceUse(DESK, 0), 0);
    }

    private AcceptOutcome accept(String customer, String text, ServiceUse use, long base) {
        AcceptRequest request =
                new AcceptRequest(
                        customer,
                        new TemplateText(text),
                        List.of(use),
                        "operation-" + base + "-" + text.hashCode(),
                        "test",
                        base);
        ConfigurationStore store =
                new ConfigurationStore(
                        new HttpStoreClient(mStore.endpoint(), Duration.ofSeconds(2)),
                        Duration.ofMillis(POLL_MILLIS));
        return store.run(new AcceptProtocol(request, Head.RING_CAPACITY), action -> {}).join();
    }

    /** Waits for a condition; fails with its description after the timeout. */
    void await(String description, BooleanSupplier condition) {
        Instant end = mClock.instant().plus(LIMIT);
        while (!condition.getAsBoolean()) {
            if (mClock.instant().isAfter(end)) {
                throw new AssertionError("Condition not met in time: " + description);
            }
            CompletableFuture.runAsync(() -> {}, POLL_EXECUTOR).join();
        }
    }

    /** Returns the total number of runs of an operation at all targets. */
    int runs(String key) {
        return mTargets.stream()
                .map(target -> target.state().runs())
                .mapToInt((Map<String, Integer> runs) -> runs.getOrDefault(key, 0))
                .sum();
    }

    /** Returns the total number of requests that all targets started. */
    long served() {
        return mTargets.stream().mapToLong(target -> target.state().served()).sum();
    }

    /** Returns the total number of requests that were cancelled at all targets. */
    long cancelled() {
        return mTargets.stream().mapToLong(target -> target.state().cancelled()).sum();
    }

    /** Replaces the faults of all targets. */
    void setFaults(TargetFaults faults) {
        mTargets.forEach(target -> target.setFaults(faults));
    }

    /** Returns the targets. */
    List<TargetStandIn> targets() {
        return mTargets;
    }

    /** Returns the store. */
    StoreStandIn store() {
        return mStore;
    }

    /** Returns the clock of all components in this process. */
    Clock clock() {
        return mClock;
    }

    @Override
    public void close() {
        mTargets.forEach(TargetStandIn::close);
        mStore.close();
        mVmList.close();
    }
}
