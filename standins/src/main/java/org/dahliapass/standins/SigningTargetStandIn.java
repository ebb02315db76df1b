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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.model.Endpoint;

/**
 * A target stand-in that echoes the attempt ID and signs its responses. It writes raw bytes, so
 * that tests can receive malformed HTTP.
 */
public final class SigningTargetStandIn implements StandIn {
    private static final int LARGE_FAILURE_BYTES = 3_900_000;
    private static final Pattern PARTS_PATH =
            Pattern.compile("GET .*/(\\d+)/(\\d+)/(\\d+) HTTP/1\\.1");
    private static final String SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1";
    private static final int BACKLOG = 100;

    /** The length of a large response, in bytes. */
    public static final int LARGE_BODY_BYTES = 4 * 1024 * 1024;

    private static final long RESET_DELAY_NANOS = 100_000_000;

    private final String mInstance;

    /** Lets the bytes without end come faster than any limit of their number. */
    private static final long CHUNK_INTERVAL_NANOS = 1_000_000;

    private final ServerSocket mSocket;
    private final List<ReceivedRequest> mReceivedRequests = new CopyOnWriteArrayList<>();
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();
    private final AtomicInteger mClosedConnectionCount = new AtomicInteger();
    private final AtomicInteger mMisdirectedCount = new AtomicInteger();
    private Thread mAcceptor;
    private volatile Function<ReceivedRequest, Behaviour> mBehaviour = request -> Behaviour.RESPOND;

    /** The reaction of the target to a request. */
    public enum Behaviour {
        /** Sends a complete response. */
        RESPOND {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "") + body(request));
            }
        },
        /** Sends a complete response whose status is 000. */
        RESPOND_STATUS_ZERO {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "").replace(" 200 ", " 000 ") + body(request));
            }
        },
        /** Sends a complete response in whose head the name of a field contains a blank. */
        RESPOND_BLANK_IN_FIELD_NAME {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server Load: 1,0,3\r\n") + body(request));
            }
        },
        /** Sends a complete response whose length has a name with a blank and a second word. */
        RESPOND_BLANK_IN_LENGTH_NAME {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head = head(request, 200, "");
                write(connection, head.replace("Length: ", "Length x: ") + body(request));
                connection.shutdownOutput();
            }
        },
        /** Sends a complete response in whose head the name of a field contains a control byte. */
        RESPOND_CONTROL_BYTE_IN_FIELD_NAME {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server\u0001Load: a\r\n") + body(request));
            }
        },
        /** Sends a complete response with a chunk whose size is followed by a control byte. */
        RESPOND_CONTROL_BYTE_IN_CHUNK_SIZE {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head =
                        head(request, 200, "")
                                .replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked");
                write(connection, head + "1\u0001\r\na\r\n0\r\n\r\n");
            }
        },
        /** Sends a complete response of 4 MiB, more than a VM buffers. */
        RESPOND_LARGE {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head = head(request, 200, "");
                String length = "Content-Length: " + LARGE_BODY_BYTES + "\r\n";
                write(
                        connection,
                        head.replaceFirst("Content-Length: \\d+\r\n", length)
                                + "x".repeat(LARGE_BODY_BYTES));
            }
        },
        /** Executes the request and responds with 500 and a body of 3.9 MB. */
        FAIL_LARGE {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head =
                        head(request, 500, "")
                                .replaceFirst(
                                        "Content-Length: \\d+",
                                        "Content-Length: " + LARGE_FAILURE_BYTES);
                write(connection, head + "x".repeat(LARGE_FAILURE_BYTES));
            }
        },
        /** Sends a complete response that names a limit of one request per 4 s. */
        RESPOND_LIMITED {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server-Limit: 0.25\r\n") + body(request));
            }
        },
        /** Sends a complete response that names a limit that isn't a number. */
        RESPOND_MALFORMED_LIMIT {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server-Limit: few\r\n") + body(request));
            }
        },
        /**
         * Sends a complete response whose body is a {@link PatternBody}. The last three segments of
         * the path are the length in bytes, the number of parts and the pause between two parts in
         * milliseconds.
         */
        RESPOND_IN_PARTS {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                Matcher path = PARTS_PATH.matcher(request.requestLine());
                if (!path.matches()) {
                    throw new IOException("not the path of a response in parts: " + request);
                }
                int length = Integer.parseInt(path.group(1));
                int parts = Integer.parseInt(path.group(2));
                long pauseMillis = Long.parseLong(path.group(3));
                write(
                        connection,
                        head(request, 200, "")
                                .replaceFirst("Content-Length: \\d+", "Content-Length: " + length));
                int partLength = length / parts + 1;
                for (int offset = 0; offset < length; offset += partLength) {
                    int end = Math.min(length, offset + partLength);
                    connection.getOutputStream().write(PatternBody.bytes(offset, end));
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
                }
            }
        },
        /** Sends the complete response twice. */
        RESPOND_TWICE {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String response = head(request, 200, "") + body(request);
                write(connection, response + response);
            }
        },
        /** Responds with 503 and states that the request wasn't executed. */
        SHED {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, refusal(request, 503));
            }
        },
        /** Refuses the request as {@link #SHED} does, then executes it and responds. */
        SHED_AND_RESPOND {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                SHED.act(connection, request);
                RESPOND.act(connection, request);
            }
        },
        /** Refuses the request as {@link #SHED} does, in a response without the attempt ID. */
        SHED_WITHOUT_ID {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, withoutId(refusal(request, 503)));
            }
        },
        /** Responds as {@link #MISDIRECTED} does, then executes the request and responds. */
        MISDIRECTED_AND_RESPOND {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                MISDIRECTED.act(connection, request);
                RESPOND.act(connection, request);
            }
        },
        /** Responds with the failure of {@link #FAIL}, then executes the request and responds. */
        FAIL_AND_RESPOND {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                FAIL.act(connection, request);
                RESPOND.act(connection, request);
            }
        },
        /** Sends a complete response that says that the target is leaving. */
        RESPOND_LEAVING {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server-Leaving: 1\r\n") + body(request));
            }
        },
        /** Sends a complete response whose header for leaving can't be read. */
        RESPOND_MALFORMED_LEAVING {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 200, "Server-Leaving: soon\r\n") + body(request));
            }
        },
        /** Sheds the request and asks for a rest of 3 s. */
        SHED_RESTING {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(
                        connection,
                        head(request, 503, "X-Dahliapass-Not-Executed: 1\r\nRetry-After: 3\r\n")
                                + body(request));
            }
        },
        /** Responds with 421 because the request names another instance. */
        MISDIRECTED {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, refusal(request, 421));
            }
        },
        /** Executes the request and responds with 500. */
        FAIL {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                write(connection, head(request, 500, "") + body(request));
            }
        },
        /** Reads the request and never responds. */
        HANG {
            @Override
            void act(Socket connection, ReceivedRequest request) {}
        },
        /** Sends a successful response whose chunks go on until the connection is closed. */
        RESPOND_ENDLESS {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                writeWithoutEnd(connection, head(request, 200, ""));
            }
        },
        /** Sends a failure whose chunks go on until the connection is closed. */
        FAIL_ENDLESS {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                writeWithoutEnd(connection, head(request, 500, ""));
            }
        },
        /** Sheds the request, with chunks that go on until the connection is closed. */
        SHED_ENDLESS {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                writeWithoutEnd(connection, head(request, 503, "X-Dahliapass-Not-Executed: 1\r\n"));
            }
        },
        /** Closes the connection without a response. */
        CLOSE {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                connection.close();
            }
        },
        /** Closes the connection within the field of the head that announces the body. */
        TRUNCATE_HEAD {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head = head(request, 200, "");
                write(connection, head.substring(0, head.indexOf("Length: ")));
                connection.close();
            }
        },
        /** Closes the connection before the end of the body. */
        TRUNCATE_BODY {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String response = head(request, 200, "") + body(request);
                write(connection, response.substring(0, response.length() - 3));
                connection.close();
            }
        },
        /** Responds without a Content-Length and ends the body by closing the connection. */
        CLOSE_DELIMITED {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head = head(request, 200, "").replaceFirst("Content-Length: \\d+\r\n", "");
                write(connection, head + body(request));
                connection.close();
            }
        },
        /** Responds without a Content-Length and resets the connection within the body. */
        CLOSE_DELIMITED_RESET {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                String head = head(request, 200, "").replaceFirst("Content-Length: \\d+\r\n", "");
                write(connection, head + "answ");
                // Keeps the reset from discarding bytes that the client hasn't read yet.
                LockSupport.parkNanos(RESET_DELAY_NANOS);
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        /** Stops like a process that crashes while it executes the request. */
        CRASH {
            @Override
            void act(Socket connection, ReceivedRequest request) throws IOException {
                throw new CrashException();
            }
        };

        abstract void act(Socket connection, ReceivedRequest request) throws IOException;

        private static String head(ReceivedRequest request, int status, String extraHeaders) {
            return "HTTP/1.1 "
                    + status
                    + " X\r\nX-Dahliapass-Attempt-Id: "
                    + request.headers().get("x-dahliapass-attempt-id")
                    + "\r\nX-Dahliapass-Server-Seal: "
                    + SIGNATURE
                    + "\r\n"
                    + extraHeaders
                    + "Content-Length: "
                    + body(request).length()
                    + "\r\n\r\n";
        }

        private static String refusal(ReceivedRequest request, int status) {
            return head(request, status, "X-Dahliapass-Not-Executed: 1\r\n") + body(request);
        }

        private static String withoutId(String response) {
            return response.replaceFirst("X-Dahliapass-Attempt-Id: [^\r]*\r\n", "");
        }

        private static String body(ReceivedRequest request) {
            return "answer to " + request.headers().get("x-dahliapass-attempt-id");
        }

        private static void writeWithoutEnd(Socket connection, String head) throws IOException {
            String chunked =
                    head.replaceFirst("Content-Length: \\d+\r\n", "Transfer-Encoding: chunked\r\n");
            write(connection, chunked);
            String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
            while (true) {
                write(connection, chunk);
                LockSupport.parkNanos(CHUNK_INTERVAL_NANOS);
            }
        }

        private static void write(Socket connection, String bytes) throws IOException {
            OutputStream output = connection.getOutputStream();
            output.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    /** Makes the stand-in stop like a crashed process. */
    private static final class CrashException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * A request as received.
     *
     * @param requestLine the request line
     * @param headers the headers by lower-case name
     * @param body the body
     * @param connection the number of the connection, counted from 1 in the order of acceptance
     */
    public record ReceivedRequest(
            String requestLine, Map<String, String> headers, String body, int connection) {}

    /** Creates a target with the instance name on a free port. */
    public SigningTargetStandIn(String instance) {
        mInstance = instance;
        try {
            mSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Sets the function that selects the behaviour for each request. */
    public void setBehaviour(Function<ReceivedRequest, Behaviour> behaviour) {
        mBehaviour = behaviour;
    }

    /** Returns the received requests, in order, without misdirected requests. */
    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(mReceivedRequests);
    }

    /** Returns the target's registration in the store, as JSON. */
    public String registration(String service, String state) {
        return registration(service, state, endpoint());
    }

    /** Returns the registration of a target that is reached at another address, as JSON. */
    public String registration(String service, String state, Endpoint address) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                + address
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":3,\"state\":\""
                + state
                + "\",\"warmup_left_s\":0,\"seq_no\":1}";
    }

    /** Returns the store key of the registration. */
    public String key() {
        return "servers/" + mInstance;
    }

    @Override
    public void start() {
        mAcceptor = startThread("target-" + mInstance, this::acceptConnections);
    }

    private void acceptConnections() {
        while (!mSocket.isClosed()) {
            try {
                Socket connection = mSocket.accept();
                mConnections.add(connection);
                int number = mConnections.size();
                Thread unused =
                        startThread(
                                "connection-" + mInstance,
                                () -> serveConnection(connection, number));
            } catch (IOException closed) {
                // The socket was closed.
                return;
            }
        }
    }

    private void serveConnection(Socket connection, int number) {
        try {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            while (line != null) {
                ReceivedRequest request = readRequest(line, reader, number);
                if (isIntendedTarget(request)) {
                    mReceivedRequests.add(request);
                    mBehaviour.apply(request).act(connection, request);
                } else {
                    mMisdirectedCount.incrementAndGet();
                    Behaviour.MISDIRECTED.act(connection, request);
                }
                line = reader.readLine();
            }
        } catch (CrashException ended) {
            crash();
        } catch (IOException closed) {
            // Either side closed the connection.
            mClosedConnectionCount.incrementAndGet();
            return;
        }
        mClosedConnectionCount.incrementAndGet();
    }

    /** A request that names no instance is accepted by every target. */
    private boolean isIntendedTarget(ReceivedRequest request) {
        String expected = request.headers().get("x-dahliapass-expect-instance");
        return expected == null || expected.equals(mInstance);
    }

    /** Returns the number of requests that named another instance. */
    public int misdirectedCount() {
        return mMisdirectedCount.get();
    }

    /** Stops listening and resets all connections, as the kernel does when a process ends. */
    private void crash() {
        try {
            stopListening();
            for (Socket connection : mConnections) {
                if (!connection.isClosed()) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Joins the acceptor, because the port accepts connections until its thread ends. */
    private void stopListening() throws IOException {
        mSocket.close();
        if (mAcceptor == null) {
            return;
        }
        try {
            mAcceptor.join();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the target has crashed or was closed. */
    public boolean isStopped() {
        return mSocket.isClosed();
    }

    /** Returns the number of connections accepted so far. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Returns the number of connections that either side has closed. */
    public int closedConnectionCount() {
        return mClosedConnectionCount.get();
    }

    private static ReceivedRequest readRequest(String line, BufferedReader reader, int connection)
            throws IOException {
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
            int count = reader.read(body, read, body.length - read);
            if (count < 0) {
                throw new IOException("request body is shorter than its Content-Length");
            }
            read += count;
        }
        return new ReceivedRequest(line, headers, new String(body), connection);
    }

    private static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
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
            stopListening();
            for (Socket connection : mConnections) {
                connection.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
