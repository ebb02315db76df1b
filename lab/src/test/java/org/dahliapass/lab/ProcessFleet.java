package org.dahliapass.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dahliapass.decisions.once.OperationToken;

/** A fleet whose VMs run as separate processes; the platform runs in the test's process. */
final class ProcessFleet implements AutoCloseable {
    private static final int VMS = 3;
    private static final Duration DISCOVERY_TIME_TO_LIVE = Duration.ofSeconds(1);

    private final TestPlatform mPlatform = new TestPlatform(3, DISCOVERY_TIME_TO_LIVE);
    private final Path mDirectory;
    private final Map<Integer, VmProcess> mVms = new TreeMap<>();

    private ProcessFleet() {
        try {
            mDirectory = Files.createTempDirectory("dahliapass-lab");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Starts the platform; {@link #startMissing} starts the VMs. */
    static ProcessFleet start() {
        ProcessFleet fleet = new ProcessFleet();
        fleet.mPlatform.accept(fleet.mPlatform.template("30s"), 0);
        return fleet;
    }

    /** Starts the VMs that are not running, under their names, and waits until all serve. */
    void startMissing() {
        List<VmProcess> started = new ArrayList<>();
        for (int number = 1; number <= VMS; number++) {
            VmProcess existing = mVms.get(number);
            if (existing == null || !existing.isAlive()) {
                VmProcess vm = VmProcess.start(settings(number));
                mVms.put(number, vm);
                started.add(vm);
            }
        }
        started.forEach(VmProcess::awaitReady);
        mPlatform.await(
                "all VMs serve",
                () -> mVms.values().stream().allMatch(vm -> knowsAll(vm) && serves(vm)));
    }

    private Path settings(int number) {
        try {
            return Files.writeString(
                    mDirectory.resolve("vm-" + number + ".ini"), mPlatform.settings(number));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static boolean knowsAll(VmProcess vm) {
        return HttpCalls.aliveMembers(vm.operators()) == VMS;
    }

    private static boolean serves(VmProcess vm) {
        return HttpCalls.get(vm.operators(), "/health").status().isSuccess();
    }

    /** Returns the latest process of a VM. */
    VmProcess vm(int number) {
        return mVms.get(number);
    }

    /** Freezes a VM and waits until all its threads are stopped. */
    void freeze(VmProcess vm) {
        vm.freeze();
        mPlatform.await("the VM is frozen", vm::isFrozen);
    }

    /** Returns a key that is bound to this home and this witness. */
    String key(VmProcess home, VmProcess witness, String unique) {
        long issuedMillis = mPlatform.clock().millis();
        return new OperationToken(home.identity(), witness.identity(), issuedMillis) + "." + unique;
    }

    /** Returns the store, the VM list and the targets. */
    TestPlatform platform() {
        return mPlatform;
    }

    @Override
    public void close() {
        mVms.values().forEach(VmProcess::kill);
        mPlatform.close();
    }
}
