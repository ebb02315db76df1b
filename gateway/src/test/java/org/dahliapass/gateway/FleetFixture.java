package org.dahliapass.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.dahliapass.decisions.routing.AnswerPeriod;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.standins.SigningTargetStandIn.ReceivedRequest;

/** Several gateway VMs that know each other, with one store and several targets on loopback. */
final class FleetFixture implements AutoCloseable {
    private static final int TARGETS = 10;

    final MetadataStoreStandIn mStore = new MetadataStoreStandIn(0, new MonotonicClock());
    final List<SigningTargetStandIn> mTargets =
            IntStream.range(0, TARGETS)
                    .mapToObj(number -> new SigningTargetStandIn("i-" + number))
                    .toList();
    private final List<GatewaySettings> mSettings = new ArrayList<>();
    private final List<GatewayVm> mVms = new ArrayList<>();

    /** Starts the VMs and waits until each has served a read and knows the others. */
    FleetFixture(int vms) {
        mStore.start();
        mTargets.forEach(SigningTargetStandIn::start);
        mTargets.forEach(target -> mStore.put(target.key(), target.registration("x", "ready")));
        mStore.put("op/config", GatewayFixtures.configuration(1, "/r/"));
        for (int number = 0; number < vms; number++) {
            startVm();
        }
    }

    /** Starts another VM and waits until it has served a read and all VMs know each other. */
    void startVm() {
        startUnadvertisedVm();
        int number = mVms.size() - 1;
        for (int queried = 0; queried <= number; queried++) {
            awaitAdvertised(queried, number + 1);
        }
    }

    /**
     * Starts another VM, which callers may not be told of, and waits until it has served a lock.
     */
    void startUnadvertisedVm() {
        int number = mVms.size();
        String text =
                GatewayFixtures.settings(mStore.endpoint())
                        .replace("name = vm", "name = vm-" + number);
        GatewaySettings settings = GatewaySettings.from(IniFile.parse("test", text));
        EventLog log =
                new EventLog(
                        new MonotonicClock(),
                        "vm-" + number,
                        new PrintStream(OutputStream.nullOutputStream()));
        GatewayVm vm = new GatewayVm(settings, new MonotonicClock(), log);
        mSettings.add(settings);
        mVms.add(vm);
        vm.start().join();
        GatewayFixture.await(() -> CallerStandIn.status(post(number, "/l/warm", "")) == 200);
    }

    /** Waits until a VM advertises the given number of VMs to callers. */
    private void awaitAdvertised(int queried, int vms) {
        GatewayFixture.await(
                () ->
                        CallerStandIn.get(
                                                mSettings.get(queried).discovery(),
                                                DiscoveryCalls.DISCOVERY_PATH
                                                        + "?name=a.example&region=r&zone=zone-a")
                                        .split("127.0.0.1")
                                        .length
                                > vms);
    }

    /** Returns the metrics of a VM. */
    String metrics(int vm) {
        return CallerStandIn.get(mSettings.get(vm).self().peerEndpoint(), "/metrics");
    }

    /** Returns when the store answered, as far as a VM knows. */
    Optional<AnswerPeriod> answerPeriod(int vm) {
        Kernel kernel = mVms.get(vm).kernel();
        StoreFollower follower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        return kernel.find(ControlLoop.NAME, ControlLoop.class)
                .submit(follower::answerPeriod)
                .join();
    }

    /** Sets the behaviour of all targets. */
    void behave(Function<ReceivedRequest, Behaviour> behaviour) {
        mTargets.forEach(target -> target.setBehaviour(behaviour));
    }

    /** Sends a read, which is a repeatable request, to a VM and returns the raw response. */
    String get(int vm, String path) {
        return caller(vm).send("GET " + path, "read", "");
    }

    /** Sends a lock, which is an at-most-once request, to a VM and returns the raw response. */
    String post(int vm, String path, String body) {
        return caller(vm).send("POST " + path, "lock", body);
    }

    private CallerStandIn caller(int vm) {
        return new CallerStandIn(mSettings.get(vm).self().callerEndpoint(), "a.example");
    }

    /** Returns the number of targets that have exited. */
    long exitedTargets() {
        return mTargets.stream().filter(SigningTargetStandIn::isStopped).count();
    }

    @Override
    public void close() {
        mVms.forEach(vm -> vm.stopNow().join());
        mTargets.forEach(SigningTargetStandIn::close);
        mStore.close();
    }
}
