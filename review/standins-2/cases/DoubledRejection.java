package cases;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import stage.Client;
import stage.Message;
import stage.Record;
import stage.Stage;
import stage.Store;
import stage.Target;

/**
 * A faulty server sends a rejection once more where the next answer is expected, while the other
 * server of the service is down.
 */
public final class DoubledRejection {
    /** The largest dose of {@code srv_grey} in the site file. */
    private static final double REJECTED_SHARE = 0.45;

    /** The largest dose of {@code garble}, "extra late", in the site file. */
    private static final double DOUBLED_SHARE = 0.03;

    private static final String FAULTY = "i-faulty";
    private static final int ROUNDS = 5;
    private static final int CLIENTS = 1;
    private static final byte[] BODY = "x".repeat(400).getBytes();

    private final Record events;
    private final Store store = new Store();
    private final AtomicInteger sent = new AtomicInteger();
    private final Map<String, Integer> refused = new ConcurrentHashMap<>();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private volatile boolean ends;

    /** Whether the faulty server fails a part of its requests now. */
    private volatile boolean fails;

    private DoubledRejection(Record events) throws IOException {
        this.events = events;
    }

    public static void main(String[] arguments) {
        Stage.play(arguments, (events, work) -> new DoubledRejection(events).run(work));
    }

    /** Notes what it runs. */
    private class Server extends Target {
        Server(String instance) throws IOException {
            super(store, events, instance, "desk", 3);
        }

        /** The faulty server is alone in its zone, and so is the one that crashes. */
        @Override
        protected String zone() {
            return instance.equals(FAULTY) ? "zone-a" : "zone-b";
        }

        @Override
        protected void run(Connection connection, Message request) throws IOException {
            ran.add(request.id());
            super.run(connection, request);
        }
    }

    /** Rejects a part of its requests and doubles a part of the rejections. */
    private final class Faulty extends Server {
        private int answers;
        private int doubled;

        Faulty() throws IOException {
            super(FAULTY);
        }

        @Override
        protected void handle(Connection connection, Message request) throws IOException {
            answers++;
            byte[] extra = connection.extra;
            connection.extra = null;
            if (extra != null) {
                events.write("doubled", "i-faulty sends its last rejection once more");
                connection.send(extra);
            }
            super.handle(connection, request);
        }

        @Override
        protected boolean mustReject(Message request) {
            boolean rejects = ThreadLocalRandom.current().nextDouble() < REJECTED_SHARE;
            return fails && rejects || super.mustReject(request);
        }

        @Override
        protected void reject(Connection connection, Message request, String status)
                throws IOException {
            super.reject(connection, request, status);
            if (fails && (doubled + 1) <= DOUBLED_SHARE * answers) {
                doubled++;
                connection.extra =
                        answer(
                                status,
                                "",
                                "X-Dahliapass-Attempt-Id: "
                                        + request.id()
                                        + "\r\nX-Dahliapass-Not-Executed: 1\r\n");
            }
        }
    }

    private boolean run(Path folder) throws IOException {
        Faulty faulty = new Faulty();
        faulty.workMillis = 8;
        Target other = new Server("i-other-0");
        String[] route = {"r1", "h.example", "/w/", "desk", "unsafe", "3", "1"};
        store.put("op/config", Stage.configuration(5, List.<String[]>of(route), "desk"));
        try (Stage.Machine machine =
                new Stage.Machine(folder, "front-1", "zone-a", store, List.of(), Map.of())) {
            machine.start();
            machine.awaitReady(20_000);
            Stage.sleep(2_000);
            for (int client = 0; client < CLIENTS; client++) {
                Stage.daemon("client", () -> request(machine));
            }
            for (int round = 1; round <= ROUNDS; round++) {
                Stage.sleep(3_500);
                fails = Stage.trouble();
                if (Stage.trouble()) {
                    other.crash();
                }
                Stage.sleep(4_500);
                fails = false;
                if (Stage.trouble()) {
                    other = new Server("i-other-" + round);
                }
            }
            ends = true;
            Stage.sleep(3_500);
        }
        int broken = countBroken();
        String outcome = "REFUSED broken by " + broken + " of " + sent + " requests";
        events.write("outcome", outcome);
        System.out.println(outcome);
        return broken > 0;
    }

    /** Sends requests one after the other, each with its own id, on one connection. */
    private void request(Stage.Machine machine) {
        while (!ends) {
            try (Client client = new Client(machine.front)) {
                while (!ends) {
                    String id = "a-" + sent.incrementAndGet();
                    events.write("sent", id);
                    client.send("POST", "/w/x", "h.example", id, 3_000, "", BODY);
                    Message answer = client.receive(4_000);
                    events.write("answer", id + " " + (answer == null ? "closed" : answer.start));
                    if (answer == null) {
                        break;
                    }
                    check(id, answer);
                    Stage.sleep(5);
                }
            } catch (IOException failure) {
                events.write("client", failure.toString());
                Stage.sleep(100);
            }
        }
    }

    private void check(String id, Message answer) {
        boolean promisesNotRun = Set.of(408, 421, 429, 503).contains(answer.status());
        if (promisesNotRun && answer.header("X-Dahliapass-Server-Seal") == null) {
            refused.put(id, answer.status());
        }
    }

    /** Counts what was refused and has run, also later, at any server. */
    private int countBroken() {
        int broken = 0;
        for (Map.Entry<String, Integer> entry : refused.entrySet()) {
            if (ran.contains(entry.getKey())) {
                broken++;
                events.write(
                        "BROKEN", entry.getKey() + " was answered " + entry.getValue() + " and has run");
            }
        }
        return broken;
    }
}
