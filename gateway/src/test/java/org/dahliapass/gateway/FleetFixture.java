package org.dahliapass.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewaySample;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.dahliapass.standins.SealingTargetStandIn.Seen;

/** Gateway VMs that know each other, before one store and several targets, on loopback. */
final class FleetFixture implements AutoCloseable {
    private static final int TARGETS = 10;

    final MetadataStoreStandIn mStore = new MetadataStoreStandIn(0, new MonotonicClock());
    final List<SealingTargetStandIn> mTargets =
            IntStream.range(0, TARGETS)
                    .mapToObj(number -> new SealingTargetStandIn("i-" + number))
                    .toList();
    private final List<GatewaySettings> mSettings = new ArrayList<>();
    private final List<GatewayVm> mVms = new ArrayList<>();

    /** Starts VMs of which each has served a read and knows the others. */
    FleetFixture(int vms) {
        mStore.start();
        mTargets.forEach(SealingTargetStandIn::start);
        mTargets.forEach(target -> mStore.put(target.key(), target.registration("x", "ready")));
        mStore.put("op/config", GatewaySample.configuration(1, "/r/"));
        for (int number = 0; number < vms; number++) {
            startVm();
        }
    }

    /** Starts one more VM and waits until it has served a read and all know each other. */
    void startVm() {
        int number = mVms.size();
        String text =
                GatewaySample.settings(mStore.endpoint())
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
        GatewayFixture.await(() -> CallerStandIn.status(get(number, "/r/warm")) == 200);
        for (int asked = 0; asked <= number; asked++) {
            awaitNamed(asked, number + 1);
        }
    }

    /** Waits until a VM names so many VMs to callers. */
    private void awaitNamed(int asked, int vms) {
        GatewayFixture.await(
                () ->
                        CallerStandIn.read(
                                                mSettings.get(asked).discovery(),
                                                DiscoveryCalls.DISCOVERY_PATH
                                                        + "?name=a.example&region=r&zone=zone-a")
                                        .split("127.0.0.1")
                                        .length
                                > vms);
    }

    /** Sets what all targets do with each request. */
    void behave(Function<Seen, Behaviour> behaviour) {
        mTargets.forEach(target -> target.behave(behaviour));
    }

    /** Sends a read to a VM and returns the whole answer as it came. */
    String get(int vm, String path) {
        return caller(vm).send("GET " + path, "read", "");
    }

    /** Sends a lock to a VM and returns the whole answer as it came. */
    String post(int vm, String path, String body) {
        return caller(vm).send("POST " + path, "lock", body);
    }

    private CallerStandIn caller(int vm) {
        return new CallerStandIn(mSettings.get(vm).self().callerEndpoint(), "a.example");
    }

    /** Returns how many targets have ended. */
    long ended() {
        return mTargets.stream().filter(SealingTargetStandIn::hasEnded).count();
    }

    @Override
    public void close() {
        mVms.forEach(vm -> vm.stopNow().join());
        mTargets.forEach(SealingTargetStandIn::close);
        mStore.close();
    }
}
