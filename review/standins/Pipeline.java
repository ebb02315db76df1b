import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients send further safe requests before the first is answered while VMs are restarted in turn. */
final class Pipeline {
    private static final String HOST = "statements.example";
    private static final String SERVICE = "statements";
    private static final int SERVERS = 8;
    private static final int CLIENTS = 12;
    private static final int BODY_BYTES = 30_000;

    /** The requests that a client sends before the first is answered, and the time between two. */
    private static final int DEPTH = 4;

    private static final long GAP_MILLIS = 20;

    /** How a client reads: so many bytes, then a pause; about 7 Mbit/s. */
    private static final int READ_BYTES = 4_096;

    private static final long READ_PAUSE_MILLIS = 4;
    private static final long GRACE_MILLIS = 6_000;

    /** The clients' time budget, which is also the timeout of the route. */
    private static final long BUDGET_MILLIS = 5_000;

    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Long> ANSWERED_MILLIS = new ConcurrentHashMap<>();
    private static final Map<String, Long> SENT_MILLIS = new ConcurrentHashMap<>();
    private static final Map<String, Long> TERM_MILLIS = new ConcurrentHashMap<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final List<String> LOST = new ArrayList<>();

    private Pipeline() {}

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
        Store store = new Store();
        for (int index = 0; index < SERVERS; index++) {
            new BulkyServer("i-" + index, store, observer(record)).start();
            Clock.sleep(1_500 / SERVERS);
        }
        store.put("op/config", Configuration.of(HOST, SERVICE, 5, 5));
        Fleet fleet = new Fleet(repository, work, store.address());
        for (int index = 1; index <= 3; index++) {
            fleet.add("vm-" + index, "zone-a");
        }
        if (!fleet.start()) {
            record.say("the VMs don't get ready");
            return 2;
        }
        Clock.sleep(4_000);
        long end = Clock.millis() + 45_000;
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            Thread thread =
                    new Thread(
                            () -> {
                                while (Clock.millis() < end) {
                                    connection(fleet, record, end);
                                }
                            });
            threads.add(thread);
            thread.start();
        }
        Clock.sleep(4_000);
        if (trouble) {
            roll(fleet, record);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say("requests " + SENT + ", served " + SERVED + ", VMs stopped " + TERM_MILLIS.size()
                + ", answers that ended early after a SIGTERM: " + LOST.size());
        return SERVED.get() < 500 ? 2 : LOST.isEmpty() ? 0 : 1;
    }

    /** Stops and starts the VMs in turn, as the platform does. */
    private static void roll(Fleet fleet, Record record) throws Exception {
        for (Fleet.Vm vm : fleet.vms()) {
            TERM_MILLIS.put(vm.front(), Clock.millis());
            record.line("SIGTERM " + vm.mName + " " + vm.front());
            vm.mProcess.destroy();
            if (!vm.mProcess.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                vm.mProcess.destroyForcibly();
                record.line("SIGKILL " + vm.mName);
            }
            record.line("ended " + vm.mName);
            Clock.sleep(300);
            fleet.start(vm);
            Clock.sleep(5_000);
        }
    }

    private static Server.Listener observer(Record record) {
        return new Server.Listener() {
            @Override
            public void onArrival(Server server, String id, String path) {}

            @Override
            public void onRun(Server.Run run) {
                RUNS.put(run.id(), run.server());
                record.line("run " + run.server() + " " + run.method() + " " + run.id());
            }

            @Override
            public void onAnswer(Server server, String id, String seal, int status) {
                ANSWERED_MILLIS.put(id, Clock.millis());
                record.line("server-answer " + server.mName + " " + id + " " + status + " " + seal);
            }
        };
    }

    private static final class BulkyServer extends Server {
        BulkyServer(String name, Store store, Listener observer) throws IOException {
            super(name, SERVICE, "zone-a", 6, store, observer);
        }

        @Override
        void run(Message request, String id, OutputStream output) throws IOException {
            Clock.sleep(60 + random().nextInt(60));
            String seal = seal();
            String body = "x".repeat(BODY_BYTES);
            write(output, head(200, "", id, seal, body.length()), body);
            answered(id, seal, 200);
        }
    }

    /** One connection of a client, until an answer closes it or it breaks. */
    private static void connection(Fleet fleet, Record record, long end) {
        Client resolver = new Client(fleet.directories(), HOST, "zone-a");
        Deque<String> waiting = new ArrayDeque<>();
        String address = "";
        boolean[] stopped = new boolean[1];
        Thread writer = null;
        int got = 0;
        int expected = -1;
        try (Socket socket = new Socket()) {
            address = resolver.pick();
            socket.setReceiveBufferSize(8_192);
            int colon = address.indexOf(':');
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) BUDGET_MILLIS);
            String to = address;
            writer = new Thread(() -> send(socket, resolver, waiting, stopped, record, to, end));
            writer.start();
            SlowInput input = new SlowInput(socket.getInputStream());
            while (true) {
                got = 0;
                expected = -1;
                Message answer = Message.readHead(input);
                if (answer == null) {
                    throw new IOException("closed");
                }
                if (answer.closes()) {
                    synchronized (waiting) {
                        stopped[0] = true;
                    }
                }
                expected = Integer.parseInt(answer.header("Content-Length"));
                while (got < expected) {
                    int count = input.skipSome(expected - got);
                    if (count < 0) {
                        throw new IOException("closed");
                    }
                    got += count;
                }
                String id;
                synchronized (waiting) {
                    id = waiting.poll();
                }
                record.line("answered " + id + " " + answer.status() + " from " + address);
                SERVED.addAndGet(answer.status() == 200 ? 1 : 0);
                boolean isDone;
                synchronized (waiting) {
                    isDone = answer.closes() || (stopped[0] && waiting.isEmpty());
                }
                if (isDone) {
                    return;
                }
            }
        } catch (IOException broken) {
            judge(waiting, address, got, expected, broken, record);
        } finally {
            synchronized (waiting) {
                stopped[0] = true;
            }
        }
    }

    /** Sends until the connection is to be left: an answer closes it, or its address isn't named. */
    private static void send(
            Socket socket,
            Client resolver,
            Deque<String> waiting,
            boolean[] stopped,
            Record record,
            String to,
            long end) {
        try {
            while (true) {
                boolean isNamed = resolver.names(to);
                synchronized (waiting) {
                    stopped[0] |= Clock.millis() >= end || !isNamed;
                    if (stopped[0]) {
                        return;
                    }
                    if (waiting.size() < DEPTH) {
                        write(socket, waiting, record, to);
                    }
                }
                Clock.sleep(GAP_MILLIS);
            }
        } catch (IOException broken) {
            // The reader sees it as well.
        }
    }

    /** Writes a request; under the lock, so that none is sent after an answer that closes was read. */
    private static void write(Socket socket, Deque<String> waiting, Record record, String to)
            throws IOException {
        String id = String.format("c%08x", NUMBERS.incrementAndGet());
        waiting.add(id);
        SENT.incrementAndGet();
        SENT_MILLIS.put(id, Clock.millis());
        record.line("sent GET " + id + " to " + to);
        socket.getOutputStream()
                .write(
                        ("GET /read/" + id + " HTTP/1.1\r\nHost: " + HOST
                                        + "\r\nX-Dahliapass-Attempt-Id: " + id
                                        + "\r\nX-Dahliapass-Deadline-Ms: " + BUDGET_MILLIS + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The first request without an answer is the one whose answer was cut. */
    private static void judge(
            Deque<String> waiting, String address, int got, int expected, IOException broken, Record record) {
        String id;
        synchronized (waiting) {
            id = waiting.peek();
        }
        if (id == null) {
            return;
        }
        record.line("broken " + id + " from " + address + " after " + got + " of " + expected + ": " + broken);
        Long term = TERM_MILLIS.get(address);
        long now = Clock.millis();
        boolean isPlanned = term != null && now <= term + GRACE_MILLIS + 1_000;
        // A client that gave up, or whose time is over, is no connection that ended early.
        boolean isOver =
                broken instanceof SocketTimeoutException
                        || now - SENT_MILLIS.get(id) >= BUDGET_MILLIS;
        if (isPlanned && !isOver && RUNS.containsKey(id) && ANSWERED_MILLIS.containsKey(id)) {
            synchronized (LOST) {
                LOST.add(id);
            }
            record.say("LOST " + id + ": answered by " + RUNS.get(id) + ", sent " + (now - SENT_MILLIS.get(id)) + " ms before, the client got " + got
                    + " of " + expected + " bytes, " + (now - term) + " ms after the SIGTERM: "
                    + broken.getMessage());
        }
    }

    /** Reads a few bytes at a time. */
    private static final class SlowInput extends InputStream {
        private final InputStream mInput;
        private final byte[] mBytes = new byte[READ_BYTES];
        private int mAt;
        private int mEnd;

        SlowInput(InputStream input) {
            mInput = input;
        }

        private boolean fill() throws IOException {
            if (mAt < mEnd) {
                return true;
            }
            Clock.sleep(READ_PAUSE_MILLIS);
            mAt = 0;
            mEnd = mInput.read(mBytes);
            return mEnd > 0;
        }

        @Override
        public int read() throws IOException {
            return fill() ? mBytes[mAt++] & 0xff : -1;
        }

        int skipSome(int most) throws IOException {
            if (!fill()) {
                return -1;
            }
            int count = Math.min(most, mEnd - mAt);
            mAt += count;
            return count;
        }
    }
}
