import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One HTTP/1.1 message as it is read from a connection. */
final class Message {
    final String mFirstLine;
    private final List<String[]> mHeaders = new ArrayList<>();
    byte[] mBody = new byte[0];

    private Message(String firstLine) {
        mFirstLine = firstLine;
    }

    /** Reads the head; returns null if the connection ended before its first byte. */
    static Message readHead(InputStream input) throws IOException {
        String line = readLine(input, true);
        if (line == null) {
            return null;
        }
        Message message = new Message(line);
        line = readLine(input, false);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("not a header: " + line);
            }
            message.mHeaders.add(
                    new String[] {
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim()
                    });
            line = readLine(input, false);
        }
        return message;
    }

    private static String readLine(InputStream input, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0 && mayEnd) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("ended in a head");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    String header(String name) {
        for (String[] header : mHeaders) {
            if (header[0].equals(name.toLowerCase(Locale.ROOT))) {
                return header[1];
            }
        }
        return null;
    }

    int status() {
        return Integer.parseInt(mFirstLine.split(" ")[1]);
    }

    String path() {
        return mFirstLine.split(" ")[1];
    }

    String method() {
        return mFirstLine.split(" ")[0];
    }

    boolean closes() {
        String connection = header("connection");
        return connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
    }

    /** Reads the body by its length or its chunks; a message with neither has none. */
    void readBody(InputStream input) throws IOException {
        String coding = header("transfer-encoding");
        String length = header("content-length");
        if (coding != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(readLine(input, false).split(";")[0].trim(), 16);
            while (size > 0) {
                body.write(readFully(input, size));
                readLine(input, false);
                size = Integer.parseInt(readLine(input, false).split(";")[0].trim(), 16);
            }
            String trailer = readLine(input, false);
            while (!trailer.isEmpty()) {
                trailer = readLine(input, false);
            }
            mBody = body.toByteArray();
        } else if (length != null) {
            mBody = readFully(input, Integer.parseInt(length));
        }
    }

    private static byte[] readFully(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("ended in a body");
        }
        return bytes;
    }
}
