package org.dahliapass.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.dahliapass.model.Endpoint;

/**
 * Stands in for a caller that opens a connection for each request, byte by byte, so that it can
 * also send what no HTTP library would.
 */
public final class CallerStandIn {
    private static final String LENGTH = "\r\ncontent-length:";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int STATUS_FROM = 9;
    private static final int STATUS_TO = 12;

    /** Ends a call whose connection stays open against expectation, in milliseconds. */
    private static final int LONGEST_SILENCE_MILLIS = 20_000;

    private final Endpoint mServer;
    private final String mHost;

    /**
     * Creates a caller.
     *
     * @param server where it connects
     * @param host the host that its requests name
     */
    public CallerStandIn(Endpoint server, String host) {
        mServer = server;
        mHost = host;
    }

    /**
     * Sends a request with two seconds of patience.
     *
     * @param call the method and the path
     * @param id identifies the attempt
     * @return the whole answer as it came
     */
    public String send(String call, String id, String body) {
        return sendRaw(
                call
                        + " HTTP/1.1\r\nHost: "
                        + mHost
                        + "\r\nX-Dahliapass-Attempt-Id: "
                        + id
                        + "\r\nX-Dahliapass-Deadline-Ms: 2000\r\nConnection: close\r\n"
                        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n"
                        + body);
    }

    /** Reads a path of any server. */
    public static String get(Endpoint server, String path) {
        return new CallerStandIn(server, "vm")
                .sendRaw("GET " + path + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    }

    /** Sends bytes on a connection of their own and returns the answer to them. */
    public String sendRaw(String bytes) {
        try (Socket socket = new Socket(InetAddress.getByName(mServer.host()), mServer.port())) {
            socket.setSoTimeout(LONGEST_SILENCE_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return readAnswer(socket.getInputStream());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Opens a connection of its own and sends bytes there, without waiting for an answer.
     *
     * @return the connection, for the test to close
     */
    public Socket open(String bytes) {
        try {
            Socket socket = new Socket(InetAddress.getByName(mServer.host()), mServer.port());
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return socket;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the status of an answer; 0 if there was none. */
    public static int status(String answer) {
        return answer.length() < STATUS_TO
                ? 0
                : Integer.parseInt(answer.substring(STATUS_FROM, STATUS_TO));
    }

    /** Reads up to the answer's own end: a server may leave the closing to the client. */
    private static String readAnswer(InputStream input) throws IOException {
        StringBuilder answer = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            answer.append((char) next);
            if (isWhole(answer)) {
                return answer.toString();
            }
            next = input.read();
        }
        return answer.toString();
    }

    private static boolean isWhole(StringBuilder answer) {
        int end = answer.indexOf(HEAD_END);
        if (end < 0) {
            return false;
        }
        String head = answer.substring(0, end).toLowerCase(Locale.ROOT);
        int length = head.indexOf(LENGTH);
        if (length < 0) {
            return answer.indexOf(LAST_CHUNK, end) >= 0;
        }
        String number = head.substring(length + LENGTH.length()).split("\r\n", 2)[0];
        int received = answer.length() - end - HEAD_END.length();
        return received >= Integer.parseInt(number.trim());
    }
}
