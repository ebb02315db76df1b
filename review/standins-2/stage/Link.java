package stage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy whose open connections can go silent, without a reset, while new ones work. */
public final class Link {
    private final ServerSocket listener;
    private final String to;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

    private static final class Pair {
        Socket near;
        Socket far;
        volatile long lastNanos = System.nanoTime();
        volatile boolean silent;
    }

    public Link(String to) throws IOException {
        this.to = to;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Stage.daemon("link", this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Silences the open connections on which nothing has passed for a time; returns how many of how
     * many.
     */
    public String silenceIdle(long idleMillis) {
        int silenced = 0;
        int open = 0;
        for (Pair pair : pairs) {
            if (pair.silent) {
                continue;
            }
            open++;
            if (System.nanoTime() - pair.lastNanos >= idleMillis * 1_000_000) {
                pair.silent = true;
                silenced++;
            }
        }
        return silenced + " of " + open;
    }

    /** Waits until nothing has passed on an open connection for a time, but not for much longer. */
    public void awaitIdle(long idleMillis, long toleranceMillis, long maxMillis) {
        long end = System.nanoTime() + maxMillis * 1_000_000;
        while (System.nanoTime() < end) {
            for (Pair pair : pairs) {
                long idle = (System.nanoTime() - pair.lastNanos) / 1_000_000;
                if (!pair.silent && idle >= idleMillis && idle < idleMillis + toleranceMillis) {
                    return;
                }
            }
            Stage.sleep(10);
        }
    }

    private void accept() {
        while (true) {
            try {
                Pair pair = new Pair();
                pair.near = listener.accept();
                pair.far = new Socket();
                int colon = to.indexOf(':');
                pair.far.connect(
                        new InetSocketAddress(
                                to.substring(0, colon), Integer.parseInt(to.substring(colon + 1))));
                pair.near.setTcpNoDelay(true);
                pair.far.setTcpNoDelay(true);
                pairs.add(pair);
                Stage.daemon("there", () -> pump(pair, pair.near, pair.far));
                Stage.daemon("back", () -> pump(pair, pair.far, pair.near));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void pump(Pair pair, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!pair.silent) {
                    out.write(buffer, 0, count);
                    pair.lastNanos = System.nanoTime();
                }
            }
        } catch (IOException ended) {
            // One end left.
        }
        if (!pair.silent) {
            pairs.remove(pair);
            close(pair.near);
            close(pair.far);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
