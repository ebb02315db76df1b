package org.dahliapass.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.dahliapass.model.Endpoint;

/**
 * Stands in for a target that repeats the caller's id and signs its answers, byte by byte, so that
 * it can also send what no HTTP library would.
 */
public final class SigningTargetStandIn implements StandIn {
    private static final String SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";
    private static final int BACKLOG = 100;
    private static final long RESET_PAUSE_NANOS = 100_000_000;

    private final String mInstance;
    private final ServerSocket mSocket;
    private final List<ReceivedRequest> mSeen = new CopyOnWriteArrayList<>();
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();
    private final AtomicInteger mEnded = new AtomicInteger();
    private final AtomicInteger mMisdirected = new AtomicInteger();
    private Thread mAcceptor;
    private volatile Function<ReceivedRequest, Behaviour> mBehaviour = seen -> Behaviour.RESPOND;

    /** What the target does with a request. */
    public enum Behaviour {
        /** Answers in full. */
        RESPOND {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                write(connection, head(seen, 200, "") + body(seen));
            }
        },
        /** Answers in full and once more, as if the answer had been lost. */
        RESPOND_TWICE {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                String answer = head(seen, 200, "") + body(seen);
                write(connection, answer + answer);
            }
        },
        /** States that it didn't run the request. */
        SHED {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                write(connection, head(seen, 503, "X-Dahliapass-Not-Executed: 1\r\n") + body(seen));
            }
        },
        /** States that another target was meant, so that it didn't run the request. */
        MISDIRECTED {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                write(connection, head(seen, 421, "X-Dahliapass-Not-Executed: 1\r\n") + body(seen));
            }
        },
        /** Runs the request and fails. */
        FAIL {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                write(connection, head(seen, 500, "") + body(seen));
            }
        },
        /** Takes the request and says nothing. */
        HANG {
            @Override
            void act(Socket connection, ReceivedRequest seen) {}
        },
        /** Closes the connection without an answer. */
        CLOSE {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                connection.close();
            }
        },
        /** Breaks off in the middle of the body. */
        TRUNCATE_BODY {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                String answer = head(seen, 200, "") + body(seen);
                write(connection, answer.substring(0, answer.length() - 3));
                connection.close();
            }
        },
        /** Answers without a length and ends the body by closing. */
        CLOSE_DELIMITED {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                String head = head(seen, 200, "").replaceFirst("Content-Length: \\d+\r\n", "");
                write(connection, head + body(seen));
                connection.close();
            }
        },
        /** Answers without a length and resets the connection in the middle. */
        CLOSE_DELIMITED_RESET {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                String head = head(seen, 200, "").replaceFirst("Content-Length: \\d+\r\n", "");
                write(connection, head + "answ");
                // Without this the reset may overtake the bytes, which would be another failure.
                java.util.concurrent.locks.LockSupport.parkNanos(RESET_PAUSE_NANOS);
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        /** Begins to run the request and ends with its whole process. */
        CRASH {
            @Override
            void act(Socket connection, ReceivedRequest seen) throws IOException {
                throw new ProcessEndedException();
            }
        };

        abstract void act(Socket connection, ReceivedRequest seen) throws IOException;

        private static String head(ReceivedRequest seen, int status, String more) {
            return "HTTP/1.1 "
                    + status
                    + " X\r\nX-Dahliapass-Attempt-Id: "
                    + seen.headers().get("x-dahliapass-attempt-id")
                    + "\r\nX-Dahliapass-Server-Seal: "
                    + SEAL
                    + "\r\n"
                    + more
                    + "Content-Length: "
                    + body(seen).length()
                    + "\r\n\r\n";
        }

        private static String body(ReceivedRequest seen) {
            return "answer to " + seen.headers().get("x-dahliapass-attempt-id");
        }

        private static void write(Socket connection, String bytes) throws IOException {
            OutputStream output = connection.getOutputStream();
            output.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    /** Ends the stand-in as the end of a process would. */
    private static final class ProcessEndedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * A request as it came.
     *
     * @param requestLine the request line
     * @param headers the headers, names in lower case
     * @param body the body
     */
    public record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {}

    /** Creates the stand-in on a free port. */
    public SigningTargetStandIn(String instance) {
        mInstance = instance;
        try {
            mSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Sets what the target does with each request. */
    public void setBehaviour(Function<ReceivedRequest, Behaviour> behaviour) {
        mBehaviour = behaviour;
    }

    /** Returns the requests that came, in order. */
    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(mSeen);
    }

    /** Returns the entry that the target keeps in the store. */
    public String registration(String service, String state) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                + endpoint()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":3,\"state\":\""
                + state
                + "\",\"warmup_left_s\":0,\"seq_no\":1}";
    }

    /** Returns the key of that entry. */
    public String key() {
        return "servers/" + mInstance;
    }

    @Override
    public void start() {
        mAcceptor = startThread("target-" + mInstance, this::acceptAll);
    }

    private void acceptAll() {
        while (!mSocket.isClosed()) {
            try {
                Socket connection = mSocket.accept();
                mConnections.add(connection);
                Thread unused = startThread("connection-" + mInstance, () -> serveAll(connection));
            } catch (IOException closed) {
                // The socket was closed, which ends the loop.
                return;
            }
        }
    }

    private void serveAll(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            while (line != null) {
                ReceivedRequest seen = read(line, reader);
                if (isMeant(seen)) {
                    mSeen.add(seen);
                    mBehaviour.apply(seen).act(connection, seen);
                } else {
                    mMisdirected.incrementAndGet();
                    Behaviour.MISDIRECTED.act(connection, seen);
                }
                line = reader.readLine();
            }
        } catch (ProcessEndedException ended) {
            endProcess();
        } catch (IOException closed) {
            // Either side closed the connection, which ends its thread.
            mEnded.incrementAndGet();
            return;
        }
        mEnded.incrementAndGet();
    }

    /** Runs also what names nobody, whichever service it was for. */
    private boolean isMeant(ReceivedRequest seen) {
        String expected = seen.headers().get("x-dahliapass-expect-instance");
        return expected == null || expected.equals(mInstance);
    }

    /** Returns how many requests came that named another instance. */
    public int misdirectedCount() {
        return mMisdirected.get();
    }

    /**
     * Listens no more and resets all connections, as the kernel does for a process that ended.
     *
     * <p>The port takes connections for as long as a thread waits for one, also after the close.
     */
    private void endProcess() {
        try {
            mSocket.close();
            mAcceptor.join();
            for (Socket connection : mConnections) {
                if (!connection.isClosed()) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the process has ended or the stand-in was closed. */
    public boolean isStopped() {
        return mSocket.isClosed();
    }

    /** Returns how many connections were opened to it. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Returns how many of its connections have ended, whoever closed them. */
    public int closedConnectionCount() {
        return mEnded.get();
    }

    private static ReceivedRequest read(String line, BufferedReader reader) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String header = reader.readLine();
        while (header != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
            header = reader.readLine();
        }
        char[] body = new char[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
        int read = 0;
        while (read < body.length) {
            int more = reader.read(body, read, body.length - read);
            if (more < 0) {
                throw new IOException("The body ended early.");
            }
            read += more;
        }
        return new ReceivedRequest(line, headers, new String(body));
    }

    private static Thread startThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public Endpoint endpoint() {
        return new Endpoint(mSocket.getInetAddress().getHostAddress(), mSocket.getLocalPort());
    }

    @Override
    public void close() {
        try {
            mSocket.close();
            for (Socket connection : mConnections) {
                connection.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
