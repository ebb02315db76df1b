package org.dahliapass.lab;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.once.OperationToken;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.entry.VmSettings;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.StoreStandIn;
import org.dahliapass.standins.TargetStandIn;
import org.dahliapass.wire.Direction;
import org.dahliapass.wire.LinkFilter;

/**
 * A whole small fleet in one process for failure tests: store, VM list, targets and VMs on
 * loopback, on ports that the system gives. Waiting is for conditions, never for a time.
 */
final class TestFleet implements AutoCloseable {
    private static final Duration ASK_TIME_TO_LIVE = Duration.ofSeconds(1);

    private final TestPlatform mPlatform;
    private final List<EntryVm> mVms = new ArrayList<>();
    private final Map<EntryVm, LinkFaults> mCuts = new HashMap<>();

    private TestFleet(TestPlatform platform) {
        mPlatform = platform;
    }

    /** Starts a fleet whose customer {@code himal} has one service {@code desk}. */
    static TestFleet start(int targets, int vms) {
        return start(targets, vms, ASK_TIME_TO_LIVE);
    }

    /** Starts a fleet whose answers to asks hold for so long. */
    static TestFleet start(int targets, int vms, Duration askTimeToLive) {
        TestFleet fleet = new TestFleet(new TestPlatform(targets, askTimeToLive));
        fleet.accept(fleet.template("30s"), 0);
        for (int number = 1; number <= vms; number++) {
            LinkFaults cuts = new LinkFaults();
            fleet.mCuts.put(fleet.startVm(number, cuts), cuts);
        }
        fleet.awaitServing();
        return fleet;
    }

    /** Starts a VM; its zone follows from its number. */
    EntryVm startVm(int number, LinkFilter filter) {
        VmSettings settings =
                VmSettings.from(IniFile.parse("vm-" + number, mPlatform.settings(number)));
        EntryVm vm = new EntryVm(settings, clock(), filter, () -> {});
        vm.start().join();
        mVms.add(vm);
        return vm;
    }

    /** Begins a planned stop; the VM no longer counts as one of the fleet's. */
    CompletableFuture<Void> shutDown(EntryVm vm) {
        mVms.remove(vm);
        return vm.leaveAndStop();
    }

    /** Loses all messages from one VM to another; those of the other way pass. */
    void cutOneWay(EntryVm from, EntryVm to) {
        mCuts.get(from).cut(Direction.OUT, peers(to));
        mCuts.get(to).cut(Direction.IN, peers(from));
    }

    /** Lets all messages of a VM pass again. */
    void healLinks() {
        mCuts.values().forEach(LinkFaults::healAll);
    }

    /** Returns how many messages a VM lost by cuts so far. */
    int lostMessages(EntryVm vm) {
        return mCuts.get(vm).lostMessages();
    }

    private static Endpoint peers(EntryVm vm) {
        return ReadyLine.parse(vm.readyLine()).peers();
    }

    /** Returns a token that binds keys to this home and this witness, as an ask hands out. */
    String token(EntryVm home, EntryVm witness) {
        return new OperationToken(home.identity(), witness.identity(), clock().millis()).toString();
    }

    /** Returns the template's text; the deadline tells revisions apart. */
    String template(String deadline) {
        return mPlatform.template(deadline);
    }

    /** Accepts a template as an operator would. */
    AcceptOutcome accept(String text, long base) {
        return mPlatform.accept(text, base);
    }

    /** Waits until all VMs serve and know each other. */
    void awaitServing() {
        await(
                "all VMs serve",
                () -> mVms.stream().allMatch(vm -> memberCount(vm) == mVms.size() && serves(vm)));
    }

    /** Returns how many VMs a VM sees alive. */
    static int memberCount(EntryVm vm) {
        return HttpCalls.aliveMembers(vm.operatorEndpoint());
    }

    /** Returns whether a VM takes requests. */
    static boolean serves(EntryVm vm) {
        return get(vm.operatorEndpoint(), "/health").status().code() == 200;
    }

    /** Waits for a condition; fails by name if it doesn't come. */
    void await(String what, BooleanSupplier condition) {
        mPlatform.await(what, condition);
    }

    /** Sends a GET request and returns the whole answer. */
    static AggregatedHttpResponse get(Endpoint endpoint, String path) {
        return HttpCalls.get(endpoint, path);
    }

    /** Sends a guarded request and returns the whole answer. */
    static AggregatedHttpResponse post(Endpoint endpoint, String path, String key) {
        return HttpCalls.post(endpoint, path, key).join();
    }

    /** Returns the VMs. */
    List<EntryVm> vms() {
        return mVms;
    }

    /** Returns the store, the VM list and the targets. */
    TestPlatform platform() {
        return mPlatform;
    }

    /** Returns the targets. */
    List<TargetStandIn> targets() {
        return mPlatform.targets();
    }

    /** Returns the store. */
    StoreStandIn store() {
        return mPlatform.store();
    }

    /** Returns the clock that all parts follow. */
    Clock clock() {
        return mPlatform.clock();
    }

    /**
     * Begins to stop everything. Nobody waits for the end: each HTTP server's threads keep a quiet
     * period of two seconds, and nothing of this fleet is used again.
     */
    @Override
    public void close() {
        CompletableFuture<Void> unused =
                CompletableFuture.allOf(
                                mVms.stream()
                                        .map(EntryVm::stopNow)
                                        .toArray(CompletableFuture[]::new))
                        .thenRunAsync(mPlatform::close);
    }
}
