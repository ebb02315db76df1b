package org.dahliapass.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/** A VM in a separate process, which tests kill, freeze and stop by signals. */
final class VmProcess {
    private static final String FROZEN = "T";

    private final Process mProcess;
    private final CompletableFuture<ReadyLine> mReady = new CompletableFuture<>();
    private final CompletableFuture<String> mOutput;
    private VmIdentity mIdentity;

    private VmProcess(Process process) {
        mProcess = process;
        mOutput = CompletableFuture.supplyAsync(this::readOutput, task -> new Thread(task).start());
    }

    /** Starts a VM with a settings file. */
    static VmProcess start(Path settings) {
        List<String> command =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.dahliapass.entry.EntryMain",
                        "--settings",
                        settings.toString());
        try {
            return new VmProcess(new ProcessBuilder(command).redirectErrorStream(true).start());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Reads to the end, since a full pipe would block the VM. */
    private String readOutput() {
        StringBuilder output = new StringBuilder();
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                output.append(line).append('\n');
                if (ReadyLine.is(line)) {
                    mReady.complete(ReadyLine.parse(line));
                }
            }
        } catch (IOException failure) {
            // The output of a killed process may be truncated.
            output.append(failure.getMessage());
        }
        mReady.completeExceptionally(
                new AssertionError("VM exited before it was ready: " + output));
        return output.toString();
    }

    /** Waits until the VM has started and reads its identity. */
    void awaitReady() {
        ReadyLine ready = mReady.orTimeout(TestPlatform.LIMIT.toSeconds(), TimeUnit.SECONDS).join();
        String identity =
                HttpCalls.json(HttpCalls.get(ready.operators(), "/operations/status"))
                        .path("vm")
                        .asText();
        mIdentity = VmIdentity.parse(identity).orElseThrow();
    }

    /** Returns the identity of this incarnation of the VM. */
    VmIdentity identity() {
        return mIdentity;
    }

    /** Returns the endpoint for callers. */
    Endpoint callers() {
        return mReady.join().callers();
    }

    /** Returns the endpoint for operators. */
    Endpoint operators() {
        return mReady.join().operators();
    }

    /** Returns whether the process is running. */
    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process with SIGKILL and waits for its exit. */
    void kill() {
        mProcess.destroyForcibly().onExit().join();
    }

    /** Sends SIGTERM through the process handle, which leaves the output readable. */
    void terminate() {
        boolean unused = mProcess.toHandle().destroy();
    }

    /** Waits for the process to exit and returns its output. */
    String awaitEnd() {
        return mOutput.orTimeout(TestPlatform.LIMIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    /** Waits for the process to exit and returns its exit code. */
    int exitCode() {
        return mProcess.onExit().join().exitValue();
    }

    /** Freezes the process with SIGSTOP. */
    void freeze() {
        signal("-STOP");
    }

    /** Resumes the process with SIGCONT. */
    void resume() {
        signal("-CONT");
    }

    private void signal(String option) {
        try {
            new ProcessBuilder("kill", option, Long.toString(mProcess.pid()))
                    .inheritIO()
                    .start()
                    .onExit()
                    .join();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns whether all threads of the process are stopped. */
    boolean isFrozen() {
        try (var tasks = Files.list(Path.of("/proc", Long.toString(mProcess.pid()), "task"))) {
            return tasks.allMatch(task -> state(task).equals(FROZEN));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String state(Path task) {
        try {
            String status = Files.readString(task.resolve("stat"));
            // The preceding name is in parentheses and may contain any character.
            int start = status.lastIndexOf(')') + 2;
            return status.substring(start, start + 1);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
