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

/** A fleet whose VMs are processes of their own; the platform stays in the test's process. */
final class ProcessFleet implements AutoCloseable {
    private static final int VMS = 3;
    private static final Duration ASK_TIME_TO_LIVE = Duration.ofSeconds(1);

    private final TestPlatform mPlatform = new TestPlatform(3, ASK_TIME_TO_LIVE);
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

    /** Starts the VMs that don't run, under their old names, and waits until all serve. */
    void startMissing() {
        List<VmProcess> started = new ArrayList<>();
        for (int number = 1; number <= VMS; number++) {
            VmProcess old = mVms.get(number);
            if (old == null || !old.isAlive()) {
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

    /** Returns the life of a VM that runs or ran last. */
    VmProcess vm(int number) {
        return mVms.get(number);
    }

    /** Freezes a VM and waits until all of it stands still. */
    void freeze(VmProcess vm) {
        vm.freeze();
        mPlatform.await("the VM is frozen", vm::isFrozen);
    }

    /** Returns a key that is bound to this home and this witness. */
    String key(VmProcess home, VmProcess witness, String unique) {
        long born = mPlatform.clock().millis();
        return new OperationToken(home.identity(), witness.identity(), born) + "." + unique;
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
