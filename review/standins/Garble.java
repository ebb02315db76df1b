import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Servers that send additional bytes after complete answers, on connections that they keep. */
final class Garble {
    private static final String HOST = "rankings.example";
    private static final String SERVICE = "rankings-core";
    private static final int SERVERS = 6;
    private static final int CLIENTS = 24;
    private static final long PLAY_MILLIS = 60_000;
    private static final double GARBLED_SHARE = 0.02;
    private static final double OWN_FAILURES = 0.012;

    private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> STATUS_BY_SEAL = new ConcurrentHashMap<>();
    private static final AtomicInteger GARBLED = new AtomicInteger();

    private Garble() {}

    /** A server of which half add the beginning of a second answer to a few of their answers. */
    private static final class FaultyServer extends Server {
        private final boolean mIsFaulty;
        private final Record mRecord;

        FaultyServer(String name, Store store, Listener observer, boolean faulty, Record record)
                throws IOException {
            super(name, SERVICE, "zone-a", 6, store, observer);
            mIsFaulty = faulty;
            mRecord = record;
        }

        @Override
        boolean fails(Random random) {
            return random.nextDouble() < OWN_FAILURES;
        }

        @Override
        void respond(String id, OutputStream output, String head, String body) throws IOException {
            if (!mIsFaulty || random().nextDouble() >= GARBLED_SHARE) {
                super.respond(id, output, head, body);
                return;
            }
            GARBLED.incrementAndGet();
            String second = second(id, head);
            String part = second.substring(0, 1 + random().nextInt(second.length() - 1));
            mRecord.line("garbled " + mName + " " + id + " +" + part.length() + " bytes of "
                    + second.substring(9, 12) + ": "
                    + part.replace("\r", "\\r").replace("\n", "\\n"));
            write(output, head, body + part);
        }

        /** The head of a second answer: the same again, a failure, or a late refusal. */
        private String second(String id, String head) {
            return switch (random().nextInt(3)) {
                case 0 -> head;
                case 1 -> head(500, "", id, "", 0);
                default -> refusal(id);
            };
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        Path work = Path.of(arguments[1]);
        boolean trouble = !arguments[3].equals("0");
        int code;
        try (Record record = new Record(Path.of(arguments[2]))) {
            code = play(repository, work, record, trouble);
        }
        System.exit(10 + code);
    }

    private static int play(Path repository, Path work, Record record, boolean trouble)
            throws Exception {
        Store store = new Store();
        Server.Listener observer = observer(record);
        List<Server> servers = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            Server server =
                    new FaultyServer(
                            "i-" + index, store, observer, trouble && index % 2 == 0, record);
            server.start();
            servers.add(server);
        }
        store.put("op/config", Configuration.of(HOST, SERVICE, 3, 4));
        Fleet fleet = new Fleet(repository, work, store.address());
        fleet.add("vm-1", "zone-a");
        fleet.add("vm-2", "zone-a");
        if (!fleet.start()) {
            record.say("the VMs don't get ready");
            return 2;
        }
        Clock.sleep(3_000);
        return judge(record, drive(fleet, record), fleet);
    }

    private static Server.Listener observer(Record record) {
        return new Server.Listener() {
            @Override
            public void onArrival(Server server, String id, String path) {}

            @Override
            public void onRun(Server.Run run) {
                RUNS.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(run.server());
                record.line("run " + run.server() + " " + run.method() + " " + run.id());
            }

            @Override
            public void onAnswer(Server server, String id, String seal, int status) {
                STATUS_BY_SEAL.put(seal, status);
                record.line("server-answer " + server.mName + " " + id + " " + status + " " + seal);
            }
        };
    }

    /** What a client got for one request. */
    private record Got(String id, boolean repeatable, int status, String seal) {}

    private static List<Got> drive(Fleet fleet, Record record) throws InterruptedException {
        List<Got> all = new ArrayList<>();
        AtomicLong numbers = new AtomicLong();
        long end = Clock.millis() + PLAY_MILLIS;
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            boolean repeatable = index % 3 == 0;
            Thread thread =
                    new Thread(
                            () -> {
                                Client client = new Client(fleet.directories(), HOST, "zone-a");
                                while (Clock.millis() < end) {
                                    Got got = call(client, repeatable, numbers, record);
                                    synchronized (all) {
                                        all.add(got);
                                    }
                                }
                                client.close();
                            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Clock.sleep(500);
        return all;
    }

    private static Got call(Client client, boolean repeatable, AtomicLong numbers, Record record) {
        String id = String.format("a%08x", numbers.incrementAndGet());
        String method = repeatable ? "GET" : "POST";
        record.line("sent " + method + " " + id);
        Client.Answer answer =
                client.call(
                        method, (repeatable ? "/read/" : "/write/") + id, id,
                        repeatable ? 3_000 : 4_000, "result " + id);
        if (answer.message() == null) {
            record.line("answered " + id + " none " + answer.failure());
            Clock.sleep(50);
            return new Got(id, repeatable, 0, null);
        }
        int status = answer.message().status();
        String seal = answer.message().header("X-Dahliapass-Server-Seal");
        record.line("answered " + id + " " + status + " " + seal);
        return new Got(id, repeatable, status, seal);
    }

    private static int judge(Record record, List<Got> all, Fleet fleet) {
        int twice = 0;
        int mixedSuccess = 0;
        int mixedFailure = 0;
        int refused = 0;
        int served = 0;
        for (Got got : all) {
            List<String> runs = RUNS.getOrDefault(got.id(), List.of());
            served += got.status() == 200 ? 1 : 0;
            if (!got.repeatable() && runs.size() > 1) {
                twice++;
                record.say("TWICE " + got.id() + " ran at " + runs + ", the client got " + got.status());
            }
            if (!got.repeatable() && Configuration.PROMISES.contains(got.status()) && !runs.isEmpty()) {
                refused++;
                record.say("REFUSED " + got.id() + " got " + got.status() + ", ran at " + runs);
            }
            Integer given = got.seal() == null ? null : STATUS_BY_SEAL.get(got.seal());
            boolean success = got.status() >= 200 && got.status() < 300;
            if (success && (given == null || given != got.status())) {
                mixedSuccess++;
                record.say("MIXED " + got.id() + " got " + got.status() + " with seal " + got.seal()
                        + ", the server had answered " + given);
            } else if (!success && given != null && given != got.status()) {
                mixedFailure++;
                record.say("MIXED " + got.id() + " got " + got.status() + " with seal " + got.seal()
                        + ", the server had answered " + given);
            }
        }
        record.say("requests " + all.size() + ", served " + served + ", garbled answers " + GARBLED
                + "; TWICE " + twice + ", REFUSED " + refused + ", MIXED as a success " + mixedSuccess
                + ", MIXED as a failure " + mixedFailure + ", VMs ended " + fleet.ended());
        if (all.size() < 1_000 || served < all.size() / 2) {
            record.say("too little was served to judge");
            return 2;
        }
        return twice + refused + mixedSuccess + mixedFailure > 0 ? 1 : 0;
    }
}
