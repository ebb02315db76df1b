package org.dahliapass.lab;

import com.linecorp.armeria.client.BlockingWebClient;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.configuration.Accept;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.configuration.AcceptRequest;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.entry.VmSettings;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.platform.ConfigurationStore;
import org.dahliapass.platform.HttpStoreClient;
import org.dahliapass.standins.StoreStandIn;
import org.dahliapass.standins.TargetSettings;
import org.dahliapass.standins.TargetStandIn;
import org.dahliapass.standins.VmListStandIn;
import org.dahliapass.wire.LinkFilter;

/**
 * A whole small fleet in one process for failure tests: store, VM list, targets and VMs on
 * loopback, on ports that the system gives. Waiting is for conditions, never for a time.
 */
final class TestFleet implements AutoCloseable {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final long POLL_MILLIS = 20;
    private static final Executor LATER =
            CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);

    private final Clock mClock = new MonotonicClock();
    private final StoreStandIn mStore;
    private final VmListStandIn mVmList;
    private final List<TargetStandIn> mTargets = new ArrayList<>();
    private final List<EntryVm> mVms = new ArrayList<>();

    private TestFleet() {
        mStore = new StoreStandIn(0, mClock, new SplittableRandom(1));
        mVmList = new VmListStandIn(0, mClock);
        mStore.start();
        mVmList.start();
    }

    /** Starts a fleet whose customer {@code himal} has one service {@code desk}. */
    static TestFleet start(int targets, int vms) {
        TestFleet fleet = new TestFleet();
        for (int number = 0; number < targets; number++) {
            TargetStandIn target =
                    new TargetStandIn(0, new TargetSettings(3, 2, 0, number + 1), fleet.mClock);
            target.start();
            fleet.mTargets.add(target);
        }
        fleet.accept(fleet.template("30s"), 0);
        for (int number = 1; number <= vms; number++) {
            fleet.startVm(number, LinkFilter.OPEN);
        }
        fleet.awaitServing();
        return fleet;
    }

    /** Starts a VM; its zone follows from its number. */
    EntryVm startVm(int number, LinkFilter filter) {
        EntryVm vm = new EntryVm(settings(number), mClock, filter, () -> {});
        vm.start().join();
        mVms.add(vm);
        return vm;
    }

    private VmSettings settings(int number) {
        String text =
                String.join(
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
                        "ask-time-to-live = 1s",
                        "gossip-period = 200ms",
                        "control-period = 50ms");
        return VmSettings.from(IniFile.parse("vm-" + number, text));
    }

    /** Returns the template's text; the deadline tells revisions apart. */
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
                "cell = 6",
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
                "deadline = 5s",
                "patience = 4s",
                "");
    }

    /** Accepts a template as an operator would. */
    AcceptOutcome accept(String text, long base) {
        AcceptRequest request =
                new AcceptRequest(
                        "himal",
                        new TemplateText(text),
                        List.of(new ServiceUse(new ServiceId("himal", "desk"), 6)),
                        "operation-" + base + "-" + text.hashCode(),
                        "test",
                        base);
        ConfigurationStore store =
                new ConfigurationStore(
                        new HttpStoreClient(mStore.endpoint(), Duration.ofSeconds(2)),
                        Duration.ofMillis(POLL_MILLIS));
        return store.run(new Accept(request, Head.RING_CAPACITY), action -> {}).join();
    }

    /** Waits until all VMs serve and know each other. */
    void awaitServing() {
        await(
                "all VMs serve",
                () -> mVms.stream().allMatch(vm -> memberCount(vm) == mVms.size() && serves(vm)));
    }

    /** Returns how many VMs a VM sees alive. */
    static int memberCount(EntryVm vm) {
        String members = get(vm.operators(), "/operations/members").contentUtf8();
        return members.split("\"state\":\"alive\"", -1).length - 1;
    }

    /** Returns whether a VM takes requests. */
    static boolean serves(EntryVm vm) {
        return get(vm.operators(), "/health").status().code() == 200;
    }

    /** Waits for a condition; fails by name if it doesn't come. */
    void await(String what, BooleanSupplier condition) {
        Instant end = mClock.instant().plus(LIMIT);
        while (!condition.getAsBoolean()) {
            if (mClock.instant().isAfter(end)) {
                throw new AssertionError("Did not come true: " + what);
            }
            CompletableFuture.runAsync(() -> {}, LATER).join();
        }
    }

    /** Sends a GET request and returns the whole answer. */
    static AggregatedHttpResponse get(Endpoint endpoint, String path) {
        return client(endpoint).get(path);
    }

    /** Sends a guarded request and returns the whole answer. */
    static AggregatedHttpResponse post(Endpoint endpoint, String path, String key) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, path).set("idempotency-key", key).build();
        return client(endpoint).execute(HttpRequest.of(headers, HttpData.ofUtf8("{}")));
    }

    private static BlockingWebClient client(Endpoint endpoint) {
        return WebClient.builder("http://" + endpoint).responseTimeout(LIMIT).build().blocking();
    }

    /** Returns the VMs. */
    List<EntryVm> vms() {
        return mVms;
    }

    /** Returns the targets. */
    List<TargetStandIn> targets() {
        return mTargets;
    }

    /** Returns the store. */
    StoreStandIn store() {
        return mStore;
    }

    /** Returns the clock that all parts follow. */
    Clock clock() {
        return mClock;
    }

    @Override
    public void close() {
        CompletableFuture.allOf(
                        mVms.stream().map(EntryVm::stopNow).toArray(CompletableFuture[]::new))
                .join();
        mTargets.forEach(TargetStandIn::close);
        mStore.close();
        mVmList.close();
    }
}
