package org.dahliapass.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/** A gateway VM in a process of its own, which tests stop by signals. */
final class GatewayProcess implements AutoCloseable {
    private final Process mProcess;

    /**
     * Starts a VM.
     *
     * @param settings the settings file
     * @param log the file for the output, which is appended to
     */
    GatewayProcess(Path settings, Path log) {
        try {
            mProcess =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx96m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "org.dahliapass.gateway.GatewayMain",
                                    "--settings",
                                    settings.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Sends SIGTERM and waits for the end of the process. */
    void stop() {
        boolean unused = mProcess.toHandle().destroy();
        mProcess.onExit().join();
    }

    /** Sends SIGHUP, if the process has not ended. */
    void hangUp() {
        if (!mProcess.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder(List.of("kill", "-HUP", Long.toString(mProcess.pid())))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .onExit()
                    .join();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Kills the process. */
    @Override
    public void close() {
        mProcess.destroyForcibly().onExit().join();
    }
}
