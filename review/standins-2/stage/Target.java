package stage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server as PROTOCOL.md tells it: it checks the instance, runs one request at a time on a
 * connection and up to {@code slots} on all, and rejects what does not fit.
 */
public class Target implements AutoCloseable {
    public final String instance;
    public final String service;
    public final int slots;
    public volatile int queue = 4;
    public volatile long workMillis = 20;
    public volatile boolean crashed;
    private volatile boolean draining;
    public final AtomicInteger running = new AtomicInteger();
    public final AtomicInteger waiting = new AtomicInteger();
    public final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    protected final Record record;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket listener;
    private long sequence;
    private volatile boolean closed;

    public Target(Store store, Record record, String instance, String service, int slots)
            throws IOException {
        this.store = store;
        this.record = record;
        this.instance = instance;
        this.service = service;
        this.slots = slots;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        port = listener.getLocalPort();
        Stage.daemon("accept-" + instance, this::accept);
        checkIn();
        Stage.daemon(
                "beat-" + instance,
                () -> {
                    while (!closed) {
                        Stage.sleep(1_500);
                        if (!closed && !crashed) {
                            checkIn();
                        }
                    }
                });
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    protected String zone() {
        return "zone-a";
    }

    protected String state() {
        return draining ? "draining" : "ready";
    }

    /** Reports that the server drains; returns once the store has accepted that. */
    public void drain() {
        draining = true;
        checkIn();
        record.write("server", instance + " is draining, acknowledged");
    }

    private synchronized void checkIn() {
        store.put(
                "servers/" + instance,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"1\","
                                + "\"slots\":%d,\"state\":\"%s\",\"warmup_left_s\":0,\"seq_no\":%d,"
                                + "\"born\":%d}",
                        service, address(), zone(), slots, state(), ++sequence, born));
    }

    /** Ends the process of the server: nothing listens, connections are reset. */
    public void crash() throws IOException {
        crashed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        record.write("server", instance + " crashes");
        Stage.daemon(
                "lapse-" + instance,
                () -> {
                    // Three check-in intervals of silence.
                    Stage.sleep(4_500);
                    store.remove("servers/" + instance);
                });
    }

    private void accept() {
        while (!closed && !crashed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Stage.daemon("serve-" + instance, () -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            for (Message request = Message.read(connection.in, false);
                    request != null && request.whole;
                    request = Message.read(connection.in, false)) {
                handle(connection, request);
            }
        } catch (IOException | RuntimeException ended) {
            // The other end left.
        } finally {
            sockets.remove(socket);
        }
    }

    /** One connection from a machine. */
    public static final class Connection {
        final Socket socket;
        final BufferedInputStream in;
        final OutputStream out;

        /** What the server sends once more where the next answer is expected. */
        public byte[] extra;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        public void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Ends the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    protected void handle(Connection connection, Message request) throws IOException {
        if (request.path().equals("/health")) {
            connection.send(answer("200 OK", "", "X-Dahliapass-Instance-Id: " + instance + "\r\n"));
            return;
        }
        String expected = request.header("X-Dahliapass-Expect-Instance");
        if (expected != null && !expected.equals(instance)) {
            reject(connection, request, "421 Misdirected Request");
            return;
        }
        if (request.id() == null) {
            reject(connection, request, "400 Bad Request");
            return;
        }
        if (mustReject(request)) {
            reject(connection, request, "503 Service Unavailable");
            return;
        }
        run(connection, request);
    }

    /** Returns whether the server has no room for a request. */
    protected boolean mustReject(Message request) {
        if (waiting.incrementAndGet() > slots + queue) {
            waiting.decrementAndGet();
            return true;
        }
        return false;
    }

    protected void reject(Connection connection, Message request, String status)
            throws IOException {
        record.write("rejected", instance + " " + request.id() + " " + status);
        connection.send(
                answer(
                        status,
                        "",
                        (request.id() == null
                                        ? ""
                                        : "X-Dahliapass-Attempt-Id: " + request.id() + "\r\n")
                                + "X-Dahliapass-Not-Executed: 1\r\n"));
    }

    protected void run(Connection connection, Message request) throws IOException {
        try {
            while (true) {
                int now = running.get();
                if (now < slots && running.compareAndSet(now, now + 1)) {
                    break;
                }
                Stage.sleep(1);
            }
            try {
                runs.computeIfAbsent(request.id(), id -> new AtomicInteger()).incrementAndGet();
                record.write("ran", instance + " " + request.id() + " " + request.path());
                Stage.sleep(workMillis);
            } finally {
                running.decrementAndGet();
            }
        } finally {
            waiting.decrementAndGet();
        }
        connection.send(success(request));
    }

    protected byte[] success(Message request) {
        return answer(
                "200 OK",
                "done " + request.id(),
                "X-Dahliapass-Attempt-Id: " + request.id() + "\r\nX-Dahliapass-Server-Seal: "
                        + instance + "." + request.id() + "\r\n");
    }

    public static byte[] answer(String status, String body, String headers) {
        return ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers
                        + "\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
