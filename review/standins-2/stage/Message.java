package stage;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 request or response. */
public final class Message {
    public String start;
    public final Map<String, String> headers = new TreeMap<>();
    public byte[] body = new byte[0];

    /** Whether the whole message came; false if its connection ended within the body. */
    public boolean whole = true;

    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    public int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    public String method() {
        return start.split(" ")[0];
    }

    public String path() {
        return start.split(" ")[1];
    }

    public String id() {
        return header("X-Dahliapass-Attempt-Id");
    }

    /** Reads a message; null at the end of the connection. */
    public static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        do {
            message.start = line(in);
            if (message.start == null) {
                return null;
            }
        } while (message.start.isEmpty());
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("The connection ended within a head.");
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (response && message.start.startsWith("HTTP/1.1 1")) {
            return read(in, true);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            while (message.whole) {
                String size = line(in);
                if (size == null) {
                    message.whole = false;
                    break;
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                message.whole = copy(in, body, length);
                String end = message.whole ? line(in) : null;
                message.whole &= end != null;
                if (length == 0) {
                    break;
                }
            }
        } else if (message.header("content-length") != null) {
            message.whole = copy(in, body, Integer.parseInt(message.header("content-length")));
        } else if (response) {
            byte[] rest = in.readAllBytes();
            body.write(rest, 0, rest.length);
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int length)
            throws IOException {
        byte[] bytes = in.readNBytes(length);
        out.write(bytes, 0, bytes.length);
        return bytes.length == length;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
