package stage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts machines with the command of the deploy file, and ends them. */
public final class Stage {
    private Stage() {}

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** A case: plays and returns whether the rule was broken. */
    public interface Case {
        boolean play(Record events, Path work) throws IOException;
    }

    private static Path machines;

    /** Plays a case and ends with 10 if the rule held, 11 if it was broken, 12 if it couldn't run. */
    public static void play(String[] arguments, Case played) {
        int code = 12;
        Path work = Path.of(arguments[1]);
        machines = work.resolve("machines");
        try (Record events = new Record(Path.of(arguments[0]))) {
            try {
                code = played.play(events, work) ? 11 : 10;
            } catch (Throwable failure) {
                events.write("failed", failure.toString());
                failure.printStackTrace();
            }
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static synchronized void started(Process process) throws IOException {
        Files.writeString(
                machines,
                process.pid() + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(process)));
    }

    /** Kills a process, waits for its end, and takes it from the list of those that may be left. */
    private static synchronized void end(Process process) {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
            String left =
                    Files.readString(machines)
                            .lines()
                            .filter(line -> !line.equals(Long.toString(process.pid())))
                            .map(line -> line + "\n")
                            .reduce("", String::concat);
            Files.writeString(machines, left);
        } catch (IOException failure) {
            System.err.println("The list of machines can't be written: " + failure);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int nextPort = ThreadLocalRandom.current().nextInt(20_000, 31_500);

    /** Returns free ports below those that connections get, so that none of these takes one. */
    public static synchronized int[] ports(int count) throws IOException {
        int[] ports = new int[count];
        for (int found = 0; found < count; ) {
            nextPort = nextPort >= 32_000 ? 20_000 : nextPort + 1;
            try (ServerSocket socket =
                    new ServerSocket(nextPort, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[found++] = socket.getLocalPort();
            } catch (IOException taken) {
                // Try the next one.
            }
        }
        return ports;
    }

    /** A machine of the system: its settings and the process that runs now. */
    public static final class Machine implements AutoCloseable {
        public final String name;
        public final String front;
        public final String ready;
        public final String directory;
        public final String control;
        public final int internal;
        private final Path settings;
        private final Path log;
        private Process process;

        public Machine(Path folder, String name, String zone, Store store, List<String> seeds,
                Map<String, String> more) throws IOException {
            this.name = name;
            int[] ports = ports(5);
            front = "127.0.0.1:" + ports[0];
            ready = "127.0.0.1:" + ports[1];
            directory = "127.0.0.1:" + ports[2];
            control = "127.0.0.1:" + ports[3];
            internal = ports[4];
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node", name);
            values.put("zone", zone);
            values.put("region", "area");
            values.put("ip", "127.0.0.1");
            values.put("listen.front", front);
            values.put("listen.ready", ready);
            values.put("listen.directory", directory);
            values.put("listen.control", control);
            values.put("internal_ports.0", Integer.toString(internal));
            values.put("internal_ports.1", Integer.toString(internal));
            if (!seeds.isEmpty()) {
                values.put("seeds", String.join(",", seeds));
                values.put("seeds.0", seeds.get(0));
            }
            values.put("limits.cpu_share", "0.6");
            values.put("limits.cores", "1");
            values.put("limits.memory_mb", "430");
            values.put("limits.fd_limit", "4100");
            values.put("limits.link_mbps", "1000.0");
            values.put("bounds.grace_s", "6");
            values.put("bounds.retry_slack", "60");
            values.put("platform.address", store.address());
            values.put("platform.writes_per_s", "400");
            values.putAll(more);
            settings = folder.resolve(name + ".conf");
            log = folder.resolve(name + ".log");
            Files.writeString(
                    settings, render(Files.readString(Path.of("deploy/settings.ini")), values));
        }

        public void start() throws IOException {
            List<String> command =
                    new ArrayList<>(List.of(runLine().replace(
                            "/etc/dahliapass/settings.conf", settings.toString()).split(" +")));
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet()
                    .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            process = builder.start();
            started(process);
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        public int exitCode() {
            return process.exitValue();
        }

        public long pid() {
            return process.pid();
        }

        public Path log() {
            return log;
        }

        public void awaitReady(long millis) throws IOException {
            long end = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < end) {
                try (Client client = new Client(ready)) {
                    client.send("GET", "/api/readiness", ready, null, 0, "", new byte[0]);
                    Message answer = client.receive(1_000);
                    if (answer != null && answer.status() == 200) {
                        return;
                    }
                } catch (IOException notYet) {
                    // Not started.
                }
                sleep(50);
            }
            throw new IOException(name + " did not become ready.");
        }

        /** Sends a signal to the process that this stage started. */
        public void signal(String signal) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .inheritIO().start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        public boolean awaitEnd(long millis) {
            try {
                return process.waitFor(millis, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                return false;
            }
        }

        @Override
        public void close() {
            if (process != null) {
                end(process);
            }
        }
    }

    private static String runLine() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line.");
        }
        return run.group(1);
    }

    /** Fills in a template as DEPLOY.md says: values and sections for values that are there. */
    static String render(String template, Map<String, String> values) {
        Matcher section =
                Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL)
                        .matcher(template);
        String filled =
                section.replaceAll(
                        match ->
                                Matcher.quoteReplacement(
                                        values.containsKey(match.group(1))
                                                        && !values.get(match.group(1))
                                                                .equals("false")
                                                ? match.group(2)
                                                : ""));
        return Pattern.compile("\\{\\{([^}]+)}}")
                .matcher(filled)
                .replaceAll(
                        match ->
                                Matcher.quoteReplacement(
                                        values.getOrDefault(match.group(1), "")));
    }

    /** Returns a configuration; each route is name, host, prefix, service, kind, timeout, goal. */
    public static String configuration(long version, List<String[]> routes, String... services) {
        StringBuilder out = new StringBuilder("{\"version\":" + version
                + ",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"service\",\"kind\","
                + "\"timeout_s\",\"target_latency_s\",\"priority\",\"max_attempts\"],\"rows\":[");
        out.append(String.join(",", routes.stream()
                .map(r -> "[" + String.join(",", Arrays.stream(r).limit(5).map(Json::quote).toList())
                        + "," + r[5] + "," + r[6] + ",1," + (r.length > 7 ? r[7] : "3") + "]")
                .toList()));
        out.append("]},\"services\":{\"columns\":[\"name\",\"health_path\",\"conn_limit\"],\"rows\":[");
        out.append(String.join(",", Arrays.stream(services)
                .map(s -> "[" + Json.quote(s) + ",\"/health\",330]").toList()));
        return out.append("]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
                + "\"header_timeout_s\":10,\"idle_timeout_s\":30}}").toString();
    }
}
