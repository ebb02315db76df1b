package org.dahliapass.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.CallerStandIn;

/**
 * A caller that uses each connection until it ends, also after a response that says it will, and
 * then connects to a VM again.
 */
final class SoakCaller implements Runnable {
    /** Far beyond the end of each request. */
    private static final int READ_TIMEOUT_MILLIS = 120_000;

    private static final long RECONNECT_MILLIS = 20;
    private static final long MAX_PAUSE_MILLIS = 30;

    /** As long as the shortest idle timeout of a VM. */
    private static final long LONG_PAUSE_MILLIS = 1_000;

    private static final int LONG_PAUSE_ODDS = 40;
    private static final int CLOSE_ODDS = 25;
    private static final int MAX_BODY_BYTES = 900;
    private static final String LENGTH = "content-length: ";
    private static final String HEAD_END = "\r\n\r\n";

    private final String mName;
    private final List<Endpoint> mVms;
    private final SplittableRandom mRandom;
    private final Clock mClock = new MonotonicClock();
    private final BooleanSupplier mIsEnding;
    private final Queue<Ended> mEnded;
    private int mRequests;

    /** How a request ended for its caller. */
    enum End {
        /** The whole response arrived. */
        ANSWERED,
        /** The connection ended within the response. */
        CUT,
        /** The connection ended without a response. */
        UNANSWERED,
        /** Neither a response nor the end of the connection came. */
        SILENT
    }

    /**
     * A request that has ended.
     *
     * @param id the attempt ID
     * @param isRepeatable whether the request may run more than once
     * @param end how it ended
     * @param response what was received of the response
     * @param isBehindClose whether a response before it has announced the end of the connection
     * @param millis the time from its first byte to its end, in milliseconds
     */
    record Ended(
            String id,
            boolean isRepeatable,
            End end,
            String response,
            boolean isBehindClose,
            long millis) {
        /** Returns the status of the response; 0 if there is none. */
        int status() {
            return CallerStandIn.status(response);
        }

        String body() {
            return response.substring(response.indexOf(HEAD_END) + HEAD_END.length());
        }

        boolean announcesClose() {
            return response.toLowerCase(Locale.ROOT).contains("\r\nconnection: close\r\n");
        }
    }

    /**
     * Creates a caller.
     *
     * @param name the prefix of the attempt IDs
     * @param vms the VMs' endpoints for callers
     * @param isEnding whether no further request is to be sent
     * @param ended receives each request
     */
    SoakCaller(
            String name,
            List<Endpoint> vms,
            SplittableRandom random,
            BooleanSupplier isEnding,
            Queue<Ended> ended) {
        mName = name;
        mVms = vms;
        mRandom = random;
        mIsEnding = isEnding;
        mEnded = ended;
    }

    @Override
    public void run() {
        while (!mIsEnding.getAsBoolean()) {
            Endpoint vm = mVms.get(mRandom.nextInt(mVms.size()));
            try (Socket connection = new Socket(InetAddress.getByName(vm.host()), vm.port())) {
                connection.setSoTimeout(READ_TIMEOUT_MILLIS);
                use(connection);
            } catch (IOException closed) {
                // The VM has ended.
                pause(RECONNECT_MILLIS);
            }
        }
    }

    private void use(Socket connection) throws IOException {
        InputStream input = new BufferedInputStream(connection.getInputStream());
        boolean isOpen = true;
        boolean isBehindClose = false;
        while (isOpen && !mIsEnding.getAsBoolean()) {
            Ended ended = send(connection, input, isBehindClose);
            mEnded.add(ended);
            isBehindClose |= ended.announcesClose();
            isOpen = ended.end() == End.ANSWERED && mRandom.nextInt(CLOSE_ODDS) > 0;
            boolean isLong = mRandom.nextInt(LONG_PAUSE_ODDS) == 0;
            pause(isLong ? LONG_PAUSE_MILLIS : mRandom.nextLong(MAX_PAUSE_MILLIS));
        }
    }

    private Ended send(Socket connection, InputStream input, boolean isBehindClose) {
        mRequests++;
        String id = mName + "-" + mRequests;
        boolean isRepeatable = mRandom.nextBoolean();
        String body = isRepeatable ? "" : "x".repeat(mRandom.nextInt(MAX_BODY_BYTES));
        String request =
                (isRepeatable ? "GET /r/" : "POST /l/")
                        + id
                        + " HTTP/1.1\r\nHost: a.example\r\nX-Dahliapass-Attempt-Id: "
                        + id
                        + "\r\nX-Dahliapass-Deadline-Ms: 60000\r\n"
                        + (isRepeatable ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n"
                        + body;
        StringBuilder response = new StringBuilder();
        long startMillis = mClock.millis();
        End end;
        try {
            connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            end = read(input, response);
        } catch (SocketTimeoutException silent) {
            end = End.SILENT;
        } catch (IOException reset) {
            end = endOf(response);
        }
        long millis = mClock.millis() - startMillis;
        return new Ended(id, isRepeatable, end, response.toString(), isBehindClose, millis);
    }

    private static End read(InputStream input, StringBuilder response) throws IOException {
        int length = 0;
        while (response.indexOf(HEAD_END) < 0) {
            String line = readLine(input, response);
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
                length = Integer.parseInt(line.substring(LENGTH.length()));
            }
            if (!response.toString().endsWith("\n")) {
                return endOf(response);
            }
        }
        byte[] body = input.readNBytes(length);
        response.append(new String(body, StandardCharsets.ISO_8859_1));
        return body.length < length ? End.CUT : End.ANSWERED;
    }

    /** Reads a line, or what there is of it, and returns it without its end. */
    private static String readLine(InputStream input, StringBuilder response) throws IOException {
        int start = response.length();
        int next = input.read();
        while (next >= 0) {
            response.append((char) next);
            if (next == '\n') {
                break;
            }
            next = input.read();
        }
        return response.substring(start).trim();
    }

    private static End endOf(StringBuilder response) {
        return response.isEmpty() ? End.UNANSWERED : End.CUT;
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
