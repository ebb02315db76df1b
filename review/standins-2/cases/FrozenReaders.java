package cases;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import stage.Client;
import stage.Message;
import stage.Record;
import stage.Stage;
import stage.Store;
import stage.Target;

/**
 * Three of 28 machines freeze, those that renew at the store most often. The operator moves a route
 * meanwhile, and all other machines are undisturbed.
 */
public final class FrozenReaders {
    private static final int MACHINES = 28;
    private static final int FROZEN =
            Integer.parseInt(System.getenv().getOrDefault("FROZEN", "3"));
    private static final int ROUNDS = 4;
    private static final long FREEZE_MILLIS = 3_500;

    /** {@code config_apply_s}. */
    private static final long APPLY_MILLIS = 2_000;

    private static final long MARGIN_MILLIS = 50;

    /** Where the machines of the system enter themselves in the store. */
    private static final String ENTRIES = "dahliapass/vms/";

    private final Record events;
    private final Store store = new Store();
    private final List<Stage.Machine> machines = new ArrayList<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final AtomicInteger brokenNamed = new AtomicInteger();

    /** The machines that the directory names to clients of all zones. */
    private final Set<String> named = ConcurrentHashMap.newKeySet();

    private final Set<String> disturbed = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger checked = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private volatile boolean ends;
    /** From when on a request must be run by which service; null while the bound is open. */
    private volatile Bound bound;

    private record Bound(long nanos, String service) {}

    private String service = "desk";

    private FrozenReaders(Record events) throws IOException {
        this.events = events;
    }

    public static void main(String[] arguments) {
        Stage.play(arguments, (events, work) -> new FrozenReaders(events).run(work));
    }

    /** Checks that a request that is sent after the bound is run by the new service. */
    private final class Server extends Target {
        Server(String instance, String service) throws IOException {
            super(store, events, instance, service, 6);
        }

        @Override
        protected void run(Connection connection, Message request) throws IOException {
            Bound bound = FrozenReaders.this.bound;
            long sentAt = sentNanos.getOrDefault(request.id(), 0L);
            String machine = request.id().split("/")[0];
            if (bound != null && sentAt >= bound.nanos() && !disturbed.contains(machine)) {
                checked.incrementAndGet();
                if (!service.equals(bound.service())) {
                    broken.incrementAndGet();
                    if (named.contains(machine)) {
                        brokenNamed.incrementAndGet();
                    }
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
            for (int number = 1; number <= MACHINES; number++) {
                List<String> seeds =
                        machines.stream().limit(3).map(machine -> machine.control).toList();
                Stage.Machine machine =
                        new Stage.Machine(
                                folder,
                                "front-" + number,
                                "zone-" + (number % 3 + 1),
                                store,
                                seeds,
                                Map.of());
                machines.add(machine);
                machine.start();
            }
            for (Stage.Machine machine : machines) {
                machine.awaitReady(40_000);
                Stage.daemon("client", () -> request(machine));
            }
            Stage.sleep(8_000);
            for (int round = 1; round <= ROUNDS; round++) {
                List<Stage.Machine> frozen = mostRenewing();
                askWhoIsNamed();
                disturbed.clear();
                if (Stage.trouble()) {
                    for (Stage.Machine machine : frozen) {
                        disturbed.add(machine.name);
                        machine.signal("STOP");
                        events.write("freeze", machine.name);
                    }
                }
                bound = null;
                service = round % 2 == 1 ? "vault" : "desk";
                store.put("op/config", configuration(5 + 4 * round));
                long nanos =
                        System.nanoTime() + (APPLY_MILLIS + MARGIN_MILLIS) * 1_000_000;
                bound = new Bound(nanos, service);
                events.write("operator", "version " + (5 + 4 * round) + ": now " + service);
                Stage.sleep(FREEZE_MILLIS);
                for (Stage.Machine machine : frozen) {
                    machine.signal("CONT");
                    events.write("wake", machine.name);
                }
                Stage.sleep(8_500);
            }
            ends = true;
            Stage.sleep(500);
        } finally {
            machines.forEach(Stage.Machine::close);
        }
        String outcome =
                "CONFIG broken by "
                        + broken
                        + " of "
                        + checked
                        + " requests past the bound at undisturbed machines, "
                        + brokenNamed
                        + " of them at machines that the directory names";
        events.write("outcome", outcome);
        System.out.println(outcome);
        return broken.get() > 0;
    }

    private void askWhoIsNamed() throws IOException {
        named.clear();
        for (int zone = 1; zone <= 3; zone++) {
            String directory = machines.get(0).directory;
            try (Client client = new Client(directory)) {
                String path = "/api/resolve?name=h.example&region=area&zone=zone-" + zone;
                client.send("GET", path, directory, null, 0, "", new byte[0]);
                String answer = new String(client.receive(1_000).body, StandardCharsets.UTF_8);
                for (Stage.Machine machine : machines) {
                    if (answer.contains('"' + machine.front + '"')) {
                        named.add(machine.name);
                    }
                }
            }
        }
        events.write("directory", "names " + named);
    }

    /** Returns the machines that renewed their lease most often within two seconds. */
    private List<Stage.Machine> mostRenewing() {
        Map<String, Integer> before = store.renewals(ENTRIES);
        Stage.sleep(2_000);
        Map<String, Integer> after = new HashMap<>(store.renewals(ENTRIES));
        after.replaceAll((key, renewals) -> renewals - before.getOrDefault(key, renewals));
        Set<String> names =
                after.entrySet().stream()
                        .sorted(Comparator.comparing(entry -> -entry.getValue()))
                        .limit(FROZEN)
                        .map(entry -> entry.getKey().substring(ENTRIES.length()))
                        .collect(Collectors.toSet());
        return machines.stream().filter(machine -> names.contains(machine.name)).toList();
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
                    String id = machine.name + "/" + sent.incrementAndGet();
                    sentNanos.put(id, System.nanoTime());
                    events.write("sent", id);
                    client.send("GET", "/moved/x", "h.example", id, 3_000, "", new byte[0]);
                    Message answer = client.receive(4_000);
                    events.write("answer", id + " " + (answer == null ? "closed" : answer.start));
                    if (answer == null) {
                        break;
                    }
                    Stage.sleep(200);
                }
            } catch (IOException failure) {
                events.write("client", failure.toString());
                Stage.sleep(100);
            }
        }
    }
}
