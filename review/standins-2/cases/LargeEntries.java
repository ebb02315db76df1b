package cases;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import stage.Client;
import stage.Message;
import stage.Record;
import stage.Stage;
import stage.Store;
import stage.Target;

/**
 * Another writer keeps two entries under servers/ that can't be read, each within the store's limit
 * of a value, and writes them as often as a server checks in. Then a configuration moves a route
 * and a server drains.
 */
public final class LargeEntries {
    private static final int ENTRIES = 2;

    /** Within {@code value_bytes}, which is 1,048,576. */
    private static final int ENTRY_BYTES = 1_000_000;

    private static final long CHECK_IN_MILLIS = 1_500;
    private static final long WRITING_MILLIS = 55_000;
    private static final long OBSERVED_MILLIS = 15_000;

    /** {@code config_apply_s} and {@code drain_s}. */
    private static final long BOUND_MILLIS = 2_000;

    private final Record events;
    private final Store store = new Store();
    private final List<Stage.Machine> machines = new ArrayList<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lateConfiguration = new AtomicInteger();
    private final AtomicInteger lateDrain = new AtomicInteger();
    private volatile long changedNanos = Long.MAX_VALUE;
    private volatile boolean ends;

    private LargeEntries(Record events) throws IOException {
        this.events = events;
    }

    public static void main(String[] arguments) {
        Stage.play(arguments, (events, work) -> new LargeEntries(events).run(work));
    }

    /** Checks what it runs against the bounds. */
    private final class Server extends Target {
        private final boolean drains;

        Server(String instance, String service, boolean drains) throws IOException {
            super(store, events, instance, service, 6);
            this.drains = drains;
        }

        @Override
        protected void run(Connection connection, Message request) throws IOException {
            long sentAt = sentNanos.getOrDefault(request.id(), 0L);
            boolean isLate =
                    changedNanos != Long.MAX_VALUE
                            && sentAt - changedNanos > BOUND_MILLIS * 1_000_000;
            if (isLate && service.equals("desk") && request.path().startsWith("/moved/")) {
                lateConfiguration.incrementAndGet();
                events.write("BROKEN", "CONFIG " + request.id() + " ran at " + instance);
            }
            if (isLate && drains) {
                lateDrain.incrementAndGet();
                events.write("BROKEN", "DRAIN " + request.id() + " reached " + instance);
            }
            super.run(connection, request);
        }
    }

    private boolean run(Path folder) throws IOException {
        Server leaving = new Server("i-1", "desk", true);
        for (int number = 2; number <= 4; number++) {
            new Server("i-" + number, "desk", false);
        }
        new Server("i-5", "vault", false);
        new Server("i-6", "vault", false);
        store.put("op/config", configuration(5, "desk"));
        try {
            for (int number = 1; number <= 2; number++) {
                List<String> seeds = machines.stream().map(machine -> machine.control).toList();
                Stage.Machine machine =
                        new Stage.Machine(
                                folder, "front-" + number, "zone-a", store, seeds, Map.of());
                machines.add(machine);
                machine.start();
            }
            for (Stage.Machine machine : machines) {
                machine.awaitReady(20_000);
                Stage.daemon("client", () -> request(machine));
            }
            Stage.sleep(3_000);
            if (Stage.trouble()) {
                for (int number = 1; number <= ENTRIES; number++) {
                    String key = "servers/inventory-" + number;
                    Stage.daemon("writer", () -> write(key));
                }
            }
            Stage.sleep(WRITING_MILLIS);
            events.write("machines", readiness());
            store.put("op/config", configuration(9, "vault"));
            leaving.drain();
            events.write("operator", "version 9 is acknowledged: /moved/ goes to vault");
            changedNanos = System.nanoTime();
            Stage.sleep(OBSERVED_MILLIS);
            events.write("machines", readiness());
            ends = true;
            Stage.sleep(500);
        } finally {
            machines.forEach(Stage.Machine::close);
        }
        String outcome =
                "of "
                        + late
                        + " requests sent later than 2 s after both acknowledgements, CONFIG was"
                        + " broken by "
                        + lateConfiguration
                        + ", DRAIN by "
                        + lateDrain;
        events.write("outcome", outcome);
        System.out.println(outcome);
        return lateConfiguration.get() + lateDrain.get() > 0;
    }

    private static String configuration(long version, String movedTo) {
        return Stage.configuration(
                version,
                List.of(
                        new String[] {"r1", "h.example", "/moved/", movedTo, "safe", "3", "1"},
                        new String[] {"r2", "h.example", "/kept/", "desk", "safe", "3", "1"}),
                "desk",
                "vault");
    }

    private void write(String key) {
        String unreadable = "\u0001".repeat(ENTRY_BYTES);
        while (!ends) {
            store.put(key, unreadable);
            events.write("writer", key + ", " + ENTRY_BYTES + " bytes");
            Stage.sleep(CHECK_IN_MILLIS);
        }
    }

    private String readiness() {
        StringBuilder out = new StringBuilder();
        for (Stage.Machine machine : machines) {
            String status;
            try (Client client = new Client(machine.ready)) {
                client.send(
                        "GET", "/api/readiness", machine.ready, null, 0, "", new byte[0]);
                Message answer = client.receive(1_000);
                status = answer == null ? "closed" : Integer.toString(answer.status());
            } catch (IOException failure) {
                status = failure.toString();
            }
            out.append(machine.name).append(" readiness ").append(status).append("; ");
        }
        return out.toString();
    }

    private void request(Stage.Machine machine) {
        while (!ends) {
            try (Client client = new Client(machine.front)) {
                while (!ends) {
                    int number = sent.incrementAndGet();
                    String id = machine.name + "-" + number;
                    String path = (number % 4 < 2 ? "/moved/" : "/kept/") + number;
                    long now = System.nanoTime();
                    sentNanos.put(id, now);
                    if (changedNanos != Long.MAX_VALUE
                            && now - changedNanos > BOUND_MILLIS * 1_000_000) {
                        late.incrementAndGet();
                    }
                    events.write("sent", id + " " + path);
                    client.send("GET", path, "h.example", id, 3_000, "", new byte[0]);
                    Message answer = client.receive(4_000);
                    events.write("answer", id + " " + (answer == null ? "closed" : answer.start));
                    if (answer == null) {
                        break;
                    }
                    Stage.sleep(50);
                }
            } catch (IOException failure) {
                events.write("client", failure.toString());
                Stage.sleep(100);
            }
        }
    }
}
