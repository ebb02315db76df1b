package stage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one connection. */
public final class Client implements AutoCloseable {
    public final Socket socket = new Socket();
    public final BufferedInputStream in;

    public Client(String address) throws IOException {
        int colon = address.indexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public void send(String method, String path, String host, String id, long deadlineMillis,
            String headers, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                + (id == null ? "" : "\r\nX-Dahliapass-Attempt-Id: " + id
                + "\r\nX-Dahliapass-Deadline-Ms: " + deadlineMillis) + "\r\n" + headers
                + (body.length > 0 || method.equals("POST")
                        ? "Content-Length: " + body.length + "\r\n" : "")
                + "\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Sends a POST request with its body in chunks. */
    public void sendChunked(String path, String host, String id, long deadlineMillis, byte[] body)
            throws IOException {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        out.write(("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Dahliapass-Attempt-Id: "
                        + id + "\r\nX-Dahliapass-Deadline-Ms: " + deadlineMillis
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int at = 0; at < body.length; at += 5_000) {
            int length = Math.min(5_000, body.length - at);
            out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, length);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads an answer; null if the connection ends without one. */
    public Message receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        return Message.read(in, true);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
