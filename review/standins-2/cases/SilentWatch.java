package cases;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import stage.Client;
import stage.Link;
import stage.Message;
import stage.Record;
import stage.Stage;
import stage.Store;
import stage.Target;

/**
 * Connections to the store on which nothing has passed for half a second go silent, while the others
 * and new ones work. A little later the operator moves a route to another service.
 */
public final class SilentWatch {
    private static final int ROUNDS = 5;
    private static final long IDLE_MILLIS = 500;

    /** {@code config_apply_s}. */
    private static final long APPLY_MILLIS = 2_000;

    /** {@code stable_window_s}: until then after the silence no machine is in touch. */
    private static final long STABLE_MILLIS = 3_000;

    /** Allows for the time between the disruption and its record. */
    private static final long MARGIN_MILLIS = 50;

    private final Record events;
    private final Store store = new Store();
    private final Link link = new Link(store.address());
    private final List<Stage.Machine> machines = new ArrayList<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger checked = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private volatile boolean ends;

    /** From when on a request must be run by which service; null while the bound is open. */
    private volatile Bound bound;

    private record Bound(long nanos, String service) {}

    private String service = "desk";

    private SilentWatch(Record events) throws IOException {
        this.events = events;
    }

    public static void main(String[] arguments) {
        Stage.play(arguments, (events, work) -> new SilentWatch(events).run(work));
    }

    /** Checks that a request that is sent after the bound is run by the new service. */
    private final class Server extends Target {
        Server(String instance, String service) throws IOException {
            super(store, events, instance, service, 6);
        }

        @Override
        protected void run(Connection connection, Message request) throws IOException {
            Bound bound = SilentWatch.this.bound;
            long sentAt = sentNanos.getOrDefault(request.id(), 0L);
            if (bound != null && sentAt >= bound.nanos()) {
                checked.incrementAndGet();
                if (!service.equals(bound.service())) {
                    broken.incrementAndGet();
                    events.write(
                            "BROKEN",
                            String.format(
                                    "%s, sent %.2f s after the bound, was run by the old service",
                                    request.id(), (sentAt - bound.nanos()) / 1e9));
                }
            }
            super.run(connection, request);
        }
    }

    private boolean run(Path folder) throws IOException {
        for (int number = 1; number <= 3; number++) {
            new Server("i-desk-" + number, "desk");
            new Server("i-vault-" + number, "vault");
        }
        store.put("op/config", configuration(5));
        try {
            for (int number = 1; number <= 3; number++) {
                List<String> seeds = machines.stream().map(machine -> machine.control).toList();
                Stage.Machine machine =
                        new Stage.Machine(
                                folder,
                                "front-" + number,
                                "zone-" + number,
                                store,
                                seeds,
                                Map.of("platform.address", link.address()));
                machines.add(machine);
                machine.start();
            }
            for (Stage.Machine machine : machines) {
                machine.awaitReady(20_000);
                Stage.daemon("client", () -> request(machine));
            }
            Stage.sleep(6_000);
            for (int round = 1; round <= ROUNDS; round++) {
                Stage.sleep(ThreadLocalRandom.current().nextLong(1_500));
                link.awaitIdle(IDLE_MILLIS, 100, 4_000);
                long silenceNanos = System.nanoTime();
                if (Stage.trouble()) {
                    events.write("link", link.silenceIdle(IDLE_MILLIS) + " connections go silent");
                }
                Stage.sleep(300);
                bound = null;
                service = round % 2 == 1 ? "vault" : "desk";
                store.put("op/config", configuration(5 + 4 * round));
                long acknowledgedNanos = System.nanoTime();
                events.write("operator", "version " + (5 + 4 * round) + ": now " + service);
                long nanos =
                        Math.max(
                                        acknowledgedNanos + APPLY_MILLIS * 1_000_000,
                                        silenceNanos + STABLE_MILLIS * 1_000_000)
                                + MARGIN_MILLIS * 1_000_000;
                bound = new Bound(nanos, service);
                Stage.sleep(10_200);
            }
            ends = true;
            Stage.sleep(500);
        } finally {
            machines.forEach(Stage.Machine::close);
        }
        String outcome = "CONFIG broken by " + broken + " of " + checked + " requests past the bound";
        events.write("outcome", outcome);
        System.out.println(outcome);
        return broken.get() > 0;
    }

    private String configuration(long version) {
        return Stage.configuration(
                version,
                List.<String[]>of(
                        new String[] {"r1", "h.example", "/moved/", service, "safe", "3", "1"}),
                "desk",
                "vault");
    }

    private void request(Stage.Machine machine) {
        while (!ends) {
            try (Client client = new Client(machine.front)) {
                while (!ends) {
                    String id = machine.name + "-" + sent.incrementAndGet();
                    sentNanos.put(id, System.nanoTime());
                    events.write("sent", id);
                    client.send("GET", "/moved/" + id, "h.example", id, 3_000, "", new byte[0]);
                    Message answer = client.receive(4_000);
                    events.write("answer", id + " " + (answer == null ? "closed" : answer.start));
                    if (answer == null) {
                        break;
                    }
                    Stage.sleep(40);
                }
            } catch (IOException failure) {
                events.write("client", failure.toString());
                Stage.sleep(100);
            }
        }
    }
}
