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
 * A caller that opens a connection for each request and writes raw bytes, so that tests can send
 * malformed HTTP.
 */
public final class CallerStandIn {
    private static final String CONTENT_LENGTH_FIELD = "\r\ncontent-length:";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Endpoint mServer;
    private final String mHost;

    /**
     * Creates a caller.
     *
     * @param server the server to connect to
     * @param host the value of the Host header
     */
    public CallerStandIn(Endpoint server, String host) {
        mServer = server;
        mHost = host;
    }

    /**
     * Sends a request with a deadline of two seconds and returns the response.
     *
     * @param call the method and the path, separated by a blank
     * @param id the attempt ID
     * @return the raw response, including the status line and headers
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

    /** Sends a GET request to the server and returns the raw response. */
    public static String get(Endpoint server, String path) {
        return new CallerStandIn(server, "vm")
                .sendRaw("GET " + path + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    }

    /** Sends raw bytes on a new connection and returns the raw response. */
    public String sendRaw(String bytes) {
        try (Socket socket = new Socket(InetAddress.getByName(mServer.host()), mServer.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return readResponse(socket.getInputStream());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Opens a connection and sends raw bytes without waiting for a response.
     *
     * @return the open connection, which the caller closes
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

    /** Returns the status code of a raw response; 0 if there was no response. */
    public static int status(String response) {
        return response.length() < STATUS_END
                ? 0
                : Integer.parseInt(response.substring(STATUS_START, STATUS_END));
    }

    /** Stops at the end of the message because a server may leave the connection open. */
    private static String readResponse(InputStream input) throws IOException {
        StringBuilder response = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            response.append((char) next);
            if (isComplete(response)) {
                return response.toString();
            }
            next = input.read();
        }
        return response.toString();
    }

    private static boolean isComplete(StringBuilder response) {
        int end = response.indexOf(HEAD_END);
        if (end < 0) {
            return false;
        }
        String head = response.substring(0, end).toLowerCase(Locale.ROOT);
        int length = head.indexOf(CONTENT_LENGTH_FIELD);
        if (length < 0) {
            return response.indexOf(LAST_CHUNK, end) >= 0;
        }
        String number = head.substring(length + CONTENT_LENGTH_FIELD.length()).split("\r\n", 2)[0];
        int received = response.length() - end - HEAD_END.length();
        return received >= Integer.parseInt(number.trim());
    }
}
