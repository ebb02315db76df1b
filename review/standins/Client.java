import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound client: asks where to connect, keeps its connection, sends one request at a time. */
final class Client {
    private static final Pattern ADDRESS = Pattern.compile("\"(127\\.0\\.0\\.1:\\d+)\"");

    private final List<String> mDirectory;
    private final String mHost;
    private final String mZone;
    private List<String> mAddresses = List.of();
    private long mResolvedMillis = Long.MIN_VALUE / 2;
    private Socket mSocket;
    private InputStream mInput;
    private String mAddress = "";

    /** An answer; without a message if the connection ended. */
    record Answer(Message message, String failure) {}

    Client(List<String> directory, String host, String zone) {
        mDirectory = directory.stream().limit(3).toList();
        mHost = host;
        mZone = zone;
    }

    String address() {
        return mAddress;
    }

    /** Asks a VM for the addresses, as often as the answer's time to live says. */
    private void resolve() throws IOException {
        if (Clock.millis() - mResolvedMillis < 1_500 && !mAddresses.isEmpty()) {
            return;
        }
        for (String directory : mDirectory) {
            try (Socket socket = connect(directory)) {
                socket.setSoTimeout(1_000);
                write(
                        socket,
                        "GET /api/resolve?name=" + mHost + "&region=r&zone=" + mZone
                                + " HTTP/1.1\r\nHost: " + directory + "\r\nConnection: close\r\n\r\n");
                InputStream input = new BufferedInputStream(socket.getInputStream());
                Message answer = Message.readHead(input);
                if (answer == null || answer.status() != 200) {
                    continue;
                }
                answer.readBody(input);
                List<String> addresses = new ArrayList<>();
                Matcher matcher =
                        ADDRESS.matcher(new String(answer.mBody, StandardCharsets.UTF_8));
                while (matcher.find()) {
                    addresses.add(matcher.group(1));
                }
                if (!addresses.isEmpty()) {
                    mAddresses = addresses;
                    mResolvedMillis = Clock.millis();
                    return;
                }
            } catch (IOException silent) {
                // The next VM is asked.
            }
        }
        if (mAddresses.isEmpty()) {
            throw new IOException("no address");
        }
    }

    private static Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(
                        InetAddress.getByName(address.substring(0, colon)),
                        Integer.parseInt(address.substring(colon + 1))),
                1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Opens a connection unless a kept one leads to an address that is still named. */
    Socket open() throws IOException {
        resolve();
        if (mSocket != null && !mAddresses.contains(mAddress)) {
            close();
        }
        if (mSocket == null) {
            mAddress = mAddresses.get(ThreadLocalRandom.current().nextInt(mAddresses.size()));
            mSocket = connect(mAddress);
            mInput = new BufferedInputStream(mSocket.getInputStream());
        }
        return mSocket;
    }

    /** Returns one of the addresses at random. */
    String pick() throws IOException {
        resolve();
        return mAddresses.get(ThreadLocalRandom.current().nextInt(mAddresses.size()));
    }

    /** Returns whether the newest answer of a VM still names an address. */
    boolean names(String address) throws IOException {
        resolve();
        return mAddresses.contains(address);
    }

    InputStream input() {
        return mInput;
    }

    /** Writes a request on the open connection. */
    void send(String method, String path, String id, long budgetMillis, String body)
            throws IOException {
        write(
                mSocket,
                method + " " + path + " HTTP/1.1\r\nHost: " + mHost + "\r\nX-Dahliapass-Attempt-Id: "
                        + id + "\r\nX-Dahliapass-Deadline-Ms: " + budgetMillis + "\r\n"
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n" + (method.equals("GET") ? "" : body));
    }

    /** Sends a request and waits for its answer until the client's time is over. */
    Answer call(String method, String path, String id, long budgetMillis, String body) {
        try {
            open();
            mSocket.setSoTimeout((int) budgetMillis);
            send(method, path, id, budgetMillis, body);
            Message answer = Message.readHead(mInput);
            if (answer == null) {
                close();
                return new Answer(null, "closed");
            }
            answer.readBody(mInput);
            if (answer.closes()) {
                close();
            }
            return new Answer(answer, "");
        } catch (IOException failure) {
            close();
            return new Answer(null, failure.getClass().getSimpleName() + " " + failure.getMessage());
        }
    }

    void close() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException ignored) {
            // Closed all the same.
        }
        mSocket = null;
    }
}
