import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server behind the fleet: registers itself in the store, runs `slots` requests at once, queues a
 * few more, names itself in its answers and refuses what names another instance.
 */
class Server {
    /** One run of a request. */
    record Run(String id, String server, String method, String path, long startMillis) {}

    /** Told of what servers see and answer. */
    interface Listener {
        void onArrival(Server server, String id, String path);

        void onRun(Run run);

        void onAnswer(Server server, String id, String seal, int status);
    }

    private static final int QUEUE = 24;
    private static final int BEAT_MILLIS = 1_500;

    final String mName;
    final String mService;
    private final String mZone;
    private final int mSlots;
    private final ServerSocket mListener;
    private final Store mStore;
    private final Listener mObserver;
    private final Semaphore mFree;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final AtomicInteger mAnswers = new AtomicInteger();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mRegistered;
    private volatile boolean mEnded;
    private int mBeats;

    Server(String name, String service, String zone, int slots, Store store, Listener observer)
            throws IOException {
        mName = name;
        mService = service;
        mZone = zone;
        mSlots = slots;
        mStore = store;
        mObserver = observer;
        mFree = new Semaphore(slots, true);
        mListener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    }

    final String key() {
        return "servers/" + mName;
    }

    final void start() {
        mRegistered = true;
        daemon(this::accept);
        daemon(
                () -> {
                    while (mRegistered) {
                        beat();
                        Clock.sleep(BEAT_MILLIS);
                    }
                });
    }

    private synchronized void beat() {
        if (mRegistered) {
            mStore.put(
                    key(),
                    "{\"service\":\"" + mService + "\",\"address\":\"127.0.0.1:"
                            + mListener.getLocalPort() + "\",\"zone\":\"" + mZone
                            + "\",\"version\":\"v1\",\"slots\":" + mSlots
                            + ",\"state\":\"ready\",\"warmup_left_s\":0,\"seq_no\":" + ++mBeats + "}");
        }
    }

    /** Stops writing to the store; the entry stays until it is removed there. */
    final synchronized void stopBeats() {
        mRegistered = false;
    }

    /** Ends the process of the server: all its connections break. */
    final void end() {
        mEnded = true;
        stopBeats();
        try {
            mListener.close();
            for (Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException ignored) {
            // The process ends anyway.
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mEnded) {
            try {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Message request = Message.readHead(input);
            while (request != null) {
                request.readBody(input);
                answer(request, output);
                request = Message.readHead(input);
            }
        } catch (IOException broken) {
            // The caller has closed the connection, or the server has ended.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(Message request, OutputStream output) throws IOException {
        if (request.path().equals("/health")) {
            write(output, head(200, "X-Dahliapass-Instance-Id: " + mName + "\r\n", "", "", 0), "");
            return;
        }
        String id = request.header("X-Dahliapass-Attempt-Id");
        if (id == null) {
            write(output, head(400, "X-Dahliapass-Not-Executed: 1\r\n", "", "", 0), "");
            return;
        }
        String expected = request.header("X-Dahliapass-Expect-Instance");
        if (expected != null && !expected.equals(mName)) {
            write(output, head(421, "X-Dahliapass-Not-Executed: 1\r\n", id, "", 0), "");
            return;
        }
        mObserver.onArrival(this, id, request.path());
        if (mWaiting.get() >= QUEUE) {
            respond(id, output, refusal(id), "");
            return;
        }
        mWaiting.incrementAndGet();
        boolean isFree = false;
        try {
            isFree = mFree.tryAcquire(budget(request), java.util.concurrent.TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        mWaiting.decrementAndGet();
        if (!isFree) {
            respond(id, output, refusal(id), "");
            return;
        }
        mRunning.incrementAndGet();
        try {
            mObserver.onRun(
                    new Run(id, mName, request.method(), request.path(), Clock.millis()));
            run(request, id, output);
        } finally {
            mRunning.decrementAndGet();
            mFree.release();
        }
    }

    private static long budget(Message request) {
        String left = request.header("X-Dahliapass-Deadline-Ms");
        return left == null ? 1_000 : Long.parseLong(left);
    }

    /** Runs a request and answers it. */
    void run(Message request, String id, OutputStream output) throws IOException {
        Clock.sleep(workMillis(random()));
        String seal = seal();
        int status = fails(random()) ? 500 : 200;
        String body = "answer of " + mName + " to " + id;
        mObserver.onAnswer(this, id, seal, status);
        respond(id, output, head(status, "", id, seal, body.length()), body);
    }

    /** Writes an answer; a faulty server may write more. */
    void respond(String id, OutputStream output, String head, String body) throws IOException {
        write(output, head, body);
    }

    long workMillis(Random random) {
        return 20 + random.nextInt(20);
    }

    boolean fails(Random random) {
        return false;
    }

    static Random random() {
        return java.util.concurrent.ThreadLocalRandom.current();
    }

    /** Tells of an answer. */
    final void answered(String id, String seal, int status) {
        mObserver.onAnswer(this, id, seal, status);
    }

    final String seal() {
        return mName + "." + mAnswers.incrementAndGet();
    }

    /** The answer to a request that was not run. */
    final String refusal(String id) {
        return head(503, "X-Dahliapass-Not-Executed: 1\r\nRetry-After: 0.2\r\n", id, "", 0);
    }

    /** Returns the head of an answer. */
    final String head(int status, String extra, String id, String seal, int length) {
        return "HTTP/1.1 " + status + " " + reason(status) + "\r\n" + extra
                + "Date: Fri, 04 Dec 2026 08:00:00 GMT\r\nContent-Type: text/plain\r\n"
                + (id.isEmpty() ? "" : "X-Dahliapass-Attempt-Id: " + id + "\r\n")
                + (seal.isEmpty() ? "" : "X-Dahliapass-Server-Seal: " + seal + "\r\n")
                + "X-Dahliapass-Server-Load: " + mRunning.get() + "," + mWaiting.get() + "," + mSlots
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 421 -> "Misdirected Request";
            case 500 -> "Internal Server Error";
            default -> "Service Unavailable";
        };
    }

    static void write(OutputStream output, String head, String body) throws IOException {
        output.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
