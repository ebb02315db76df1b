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
 * A fleet in one process for failure tests: store, VM list, targets and VMs on ephemeral loopback
 * ports.
 */
final class TestFleet implements AutoCloseable {
    private static final Duration DISCOVERY_TIME_TO_LIVE = Duration.ofSeconds(1);

    private final TestPlatform mPlatform;
    private final List<EntryVm> mVms = new ArrayList<>();
    private final Map<EntryVm, LinkFaults> mLinkFaults = new HashMap<>();

    private TestFleet(TestPlatform platform) {
        mPlatform = platform;
    }

    /** Starts a fleet whose customer {@code himal} has one service {@code desk}. */
    static TestFleet start(int targets, int vms) {
        return start(targets, vms, DISCOVERY_TIME_TO_LIVE);
    }

    /** Starts a fleet with the given time to live of discovery responses. */
    static TestFleet start(int targets, int vms, Duration discoveryTimeToLive) {
        TestFleet fleet = new TestFleet(new TestPlatform(targets, discoveryTimeToLive));
        fleet.accept(fleet.template("30s"), 0);
        for (int number = 1; number <= vms; number++) {
            LinkFaults linkFaults = new LinkFaults();
            fleet.mLinkFaults.put(fleet.startVm(number, linkFaults), linkFaults);
        }
        fleet.awaitServing();
        return fleet;
    }

    /** Starts a VM; its number determines its zone. */
    EntryVm startVm(int number, LinkFilter filter) {
        VmSettings settings =
                VmSettings.from(IniFile.parse("vm-" + number, mPlatform.settings(number)));
        EntryVm vm = new EntryVm(settings, clock(), filter, () -> {});
        vm.start().join();
        mVms.add(vm);
        return vm;
    }

    /** Starts the planned stop of a VM and removes it from {@link #vms}. */
    CompletableFuture<Void> shutDown(EntryVm vm) {
        mVms.remove(vm);
        return vm.leaveAndStop();
    }

    /** Drops all messages from one VM to another, but not those in the other direction. */
    void cutOneWay(EntryVm from, EntryVm to) {
        mLinkFaults.get(from).cut(Direction.OUT, peers(to));
        mLinkFaults.get(to).cut(Direction.IN, peers(from));
    }

    /** Removes all link failures. */
    void healLinks() {
        mLinkFaults.values().forEach(LinkFaults::healAll);
    }

    /** Returns the number of a VM's messages lost to link failures so far. */
    int lostMessages(EntryVm vm) {
        return mLinkFaults.get(vm).lostMessages();
    }

    private static Endpoint peers(EntryVm vm) {
        return ReadyLine.parse(vm.readyLine()).peers();
    }

    /** Returns a token that binds keys to this home and witness, as discovery does. */
    String token(EntryVm home, EntryVm witness) {
        return new OperationToken(home.identity(), witness.identity(), clock().millis()).toString();
    }

    /** Returns the template's text; the deadline distinguishes revisions. */
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

    /** Returns the number of VMs that a VM considers alive. */
    static int memberCount(EntryVm vm) {
        return HttpCalls.aliveMembers(vm.operatorEndpoint());
    }

    /** Returns whether a VM accepts requests. */
    static boolean serves(EntryVm vm) {
        return get(vm.operatorEndpoint(), "/health").status().code() == 200;
    }

    /** Waits for a condition; fails with its description after the timeout. */
    void await(String description, BooleanSupplier condition) {
        mPlatform.await(description, condition);
    }

    /** Sends a GET request and returns the complete response. */
    static AggregatedHttpResponse get(Endpoint endpoint, String path) {
        return HttpCalls.get(endpoint, path);
    }

    /** Sends a guarded request and returns the complete response. */
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

    /** Returns the clock of all components. */
    Clock clock() {
        return mPlatform.clock();
    }

    /** Starts to stop all components without waiting for their two-second quiet periods. */
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
