package org.dahliapass.gateway;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;
import org.dahliapass.kernel.SettingsException;

/** The binary {@code dahliapass-gateway}: one gateway VM. */
public final class GatewayMain extends Program {
    /** Idle connections close at once; a blocked thread must not delay the exit. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(250);

    private final CountDownLatch mStopRequested = new CountDownLatch(1);
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private OptionSpec<String> mSettings;

    private GatewayMain() {
        super(
                "dahliapass-gateway",
                "A gateway VM that reads its routes, targets and peers from the platform's store.");
    }

    /** Runs until SIGTERM, then drains. */
    public static void main(String[] arguments) {
        ExitCode code = new GatewayMain().main(arguments, System.out, System.err);
        // The shutdown hook waits for the drain, and the runtime is shutting down already.
        Runtime.getRuntime().halt(code.code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mSettings =
                parser.accepts("settings", "The settings file of the VM (INI).")
                        .withRequiredArg()
                        .required();
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        Path path = Path.of(options.valueOf(mSettings));
        GatewaySettings settings = GatewaySettings.read(path);
        Clock clock = new MonotonicClock();
        EventLog log = new EventLog(clock, settings.self().name(), System.out);
        GatewayVm vm = new GatewayVm(settings, clock, log);
        SighupHandler.install(() -> reload(path, log));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> onTerminate(settings.stopTimeout()), "stop"));
        start(vm);
        log.write(
                EventLog.Kind.LIFE,
                "started",
                line ->
                        line.put("release", VERSION)
                                .put("callers", settings.self().callerEndpoint().toString()));
        mStopRequested.await();
        vm.drain().join();
        vm.logStopped();
        closeConnections(vm, log);
        mStopped.countDown();
        return ExitCode.OK;
    }

    private static void start(GatewayVm vm) {
        try {
            vm.start().join();
        } catch (CompletionException failure) {
            throw new OperationException("start", "self", failure.getCause().getMessage(), failure);
        }
    }

    /**
     * Closes the connections and stops their thread. The runtime waits 300 ms for a thread that is
     * blocked in the kernel before it halts, a third of the remaining stop timeout.
     */
    private static void closeConnections(GatewayVm vm, EventLog log) throws InterruptedException {
        try {
            vm.stopNow().get(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failure) {
            log.write(
                    EventLog.Kind.LIFE,
                    "connections_left_open",
                    line -> line.put("cause", failure.toString()));
        }
    }

    private static void reload(Path path, EventLog log) {
        try {
            GatewaySettings settings = GatewaySettings.read(path);
            log.write(
                    EventLog.Kind.LIFE,
                    "settings_read",
                    line -> line.put("store", settings.store().toString()));
        } catch (SettingsException failure) {
            log.write(
                    EventLog.Kind.LIFE,
                    "settings_refused",
                    line -> line.put("cause", failure.getMessage()));
        }
    }

    /**
     * Starts the drain and waits for its end, since the runtime halts when its hooks return.
     *
     * @param timeout the time after which the platform kills the process
     */
    private void onTerminate(Duration timeout) {
        mStopRequested.countDown();
        try {
            if (!mStopped.await(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                System.err.println(
                        "dahliapass-gateway: draining exceeded the stop timeout of "
                                + timeout.toMillis()
                                + " ms.");
            }
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }
}
