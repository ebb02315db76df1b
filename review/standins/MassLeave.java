import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A quarter of a service's servers is taken away at once; their entries are removed, none reports. */
final class MassLeave {
    private static final String HOST = "rankings.example";
    private static final String SERVICE = "rankings-core";
    private static final int SERVERS = 16;
    private static final int CLIENTS = 60;
    private static final long DRAIN_MILLIS = 2_000;

    /** How much longer than the drain time a server that leaves goes on serving. */
    private static final long LONGER_MILLIS = 500;

    private static final long CALM_MILLIS = 8_000;
    private static final long AFTER_MILLIS = 6_000;

    private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Long> LEFT_MILLIS = new ConcurrentHashMap<>();
    private static final List<String> LATE = new ArrayList<>();

    private MassLeave() {}

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Record record = new Record(Path.of(arguments[2]))) {
            code =
                    play(
                            Path.of(arguments[0]),
                            Path.of(arguments[1]),
                            record,
                            !arguments[3].equals("0"));
        }
        System.exit(10 + code);
    }

    private static int play(Path repository, Path work, Record record, boolean trouble)
            throws Exception {
        String leaversText = System.getenv("LEAVERS");
        int leavers = leaversText == null ? SERVERS / 4 : Integer.parseInt(leaversText);
        Store store = new Store();
        List<Server> servers = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            Server server =
                    new Server("i-" + index, SERVICE, "zone-a", 6, store, observer(record)) {
                        @Override
                        long workMillis(java.util.Random random) {
                            return 300 + random.nextInt(260);
                        }
                    };
            server.start();
            // The servers don't beat in step.
            Clock.sleep(1_500 / SERVERS);
            servers.add(server);
        }
        store.put("op/config", Configuration.of(HOST, SERVICE, 3, 4));
        Fleet fleet = new Fleet(repository, work, store.address());
        for (int index = 1; index <= 4; index++) {
            fleet.add("vm-" + index, "zone-a");
        }
        if (!fleet.start()) {
            record.say("the VMs don't get ready");
            return 2;
        }
        Clock.sleep(3_000);
        List<String[]> all = new ArrayList<>();
        long end = Clock.millis() + CALM_MILLIS + AFTER_MILLIS;
        List<Thread> threads = drive(fleet, record, all, end);
        Clock.sleep(CALM_MILLIS);
        if (trouble) {
            leave(store, servers.subList(0, leavers), record);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge(record, all, fleet, leavers);
    }

    /** The entries are removed at once; the servers serve on for the drain time and a bit longer. */
    private static void leave(Store store, List<Server> leaving, Record record) {
        leaving.forEach(Server::stopBeats);
        store.remove(leaving.stream().map(Server::key).toList());
        long now = Clock.millis();
        for (Server server : leaving) {
            LEFT_MILLIS.put(server.mName, now);
            record.line("store-removed " + server.key());
        }
        Clock.sleep(DRAIN_MILLIS + LONGER_MILLIS);
        for (Server server : leaving) {
            record.line("server-ends " + server.mName);
            server.end();
        }
    }

    private static Server.Listener observer(Record record) {
        return new Server.Listener() {
            @Override
            public void onArrival(Server server, String id, String path) {
                Long left = LEFT_MILLIS.get(server.mName);
                long after = left == null ? 0 : Clock.millis() - left;
                if (after > DRAIN_MILLIS) {
                    synchronized (LATE) {
                        LATE.add(id);
                    }
                    record.line("LATE " + id + " reaches " + server.mName + " " + after
                            + " ms after its entry was removed");
                }
            }

            @Override
            public void onRun(Server.Run run) {
                RUNS.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(run.server());
                record.line("run " + run.server() + " " + run.method() + " " + run.id());
            }

            @Override
            public void onAnswer(Server server, String id, String seal, int status) {
                record.line("server-answer " + server.mName + " " + id + " " + status + " " + seal);
            }
        };
    }

    private static List<Thread> drive(Fleet fleet, Record record, List<String[]> all, long end) {
        AtomicLong numbers = new AtomicLong();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            boolean repeatable = index % 3 == 0;
            Thread thread =
                    new Thread(
                            () -> {
                                Client client = new Client(fleet.directories(), HOST, "zone-a");
                                while (Clock.millis() < end) {
                                    call(client, repeatable, numbers, record, all);
                                }
                                client.close();
                            });
            threads.add(thread);
            thread.start();
        }
        return threads;
    }

    private static void call(
            Client client, boolean repeatable, AtomicLong numbers, Record record, List<String[]> all) {
        String id = String.format("b%08x", numbers.incrementAndGet());
        String method = repeatable ? "GET" : "POST";
        record.line("sent " + method + " " + id);
        Client.Answer answer =
                client.call(
                        method, (repeatable ? "/read/" : "/write/") + id, id,
                        repeatable ? 3_000 : 4_000, "result " + id);
        String got =
                answer.message() == null
                        ? answer.failure()
                        : Integer.toString(answer.message().status());
        record.line("answered " + id + " " + got);
        synchronized (all) {
            all.add(new String[] {id, method, got});
        }
        if (!got.equals("200")) {
            Clock.sleep(50);
        }
    }

    private static int judge(Record record, List<String[]> all, Fleet fleet, int leavers) {
        int served = 0;
        int lost = 0;
        int lostLate = 0;
        for (String[] got : all) {
            served += got[2].equals("200") ? 1 : 0;
            boolean ran = RUNS.containsKey(got[0]);
            if (got[1].equals("POST") && ran && !got[2].equals("200")) {
                lost++;
                boolean late = LATE.contains(got[0]);
                lostLate += late ? 1 : 0;
                record.say("accepted and lost: " + got[0] + " ran at " + RUNS.get(got[0])
                        + (late ? ", which it reached late" : "") + ", the client got " + got[2]);
            }
        }
        record.say("requests " + all.size() + ", served " + served + ", leaving "
                + LEFT_MILLIS.size() + " of " + SERVERS + ", reached them later than "
                + DRAIN_MILLIS + " ms: " + LATE.size() + ", unsafe requests that ran and were lost: "
                + lost + ", of these late: " + lostLate + ", VMs ended " + fleet.ended());
        if (all.size() < 500 || served < all.size() / 2) {
            record.say("too little was served to judge");
            return 2;
        }
        return LATE.isEmpty() ? 0 : 1;
    }
}
