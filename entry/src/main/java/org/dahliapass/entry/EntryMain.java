package org.dahliapass.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;

/** The main class of the program {@code dahliapass-vm}, which runs an entry VM. */
public final class EntryMain extends Program {
    private static final ComponentLog LOG = ComponentLog.of("vm");
    private static final Duration STOP_TIMEOUT = Duration.ofMinutes(15);

    private final CountDownLatch mStopRequested = new CountDownLatch(1);
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private OptionSpec<String> mSettings;

    private EntryMain() {
        super("dahliapass-vm", "Runs an entry VM, which serves discovery and customers' requests.");
    }

    /** Runs the VM until SIGTERM, then drains it. */
    public static void main(String[] arguments) {
        ExitCode code = new EntryMain().main(arguments, System.out, System.err);
        System.exit(code.code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mSettings =
                parser.accepts("settings", "The VM's settings file (INI).")
                        .withRequiredArg()
                        .required();
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        VmSettings settings = VmSettings.read(Path.of(options.valueOf(mSettings)));
        EntryVm vm = new EntryVm(settings, new MonotonicClock(), mStopRequested::countDown);
        start(vm);
        Runtime.getRuntime().addShutdownHook(new Thread(this::onSignal, "stop"));
        System.out.println(vm.readyLine());
        mStopRequested.await();
        LOG.info("Stopping: leaving discovery, then draining.");
        vm.leaveAndStop().join();
        LOG.info("Stopped.");
        mStopped.countDown();
        return ExitCode.OK;
    }

    private static void start(EntryVm vm) {
        try {
            vm.start().join();
        } catch (CompletionException failure) {
            throw new OperationException("start", "self", failure.getCause().getMessage(), failure);
        }
    }

    /** Waits until the VM has drained, since the JVM exits when its shutdown hooks return. */
    private void onSignal() {
        mStopRequested.countDown();
        try {
            if (!mStopped.await(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("Draining took longer than " + STOP_TIMEOUT.toMinutes() + " minutes.");
            }
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }
}
