package org.dahliapass.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dahliapass.model.Endpoint;

/** A TCP relay between a VM and a server that can be partitioned. */
public final class PartitionableLink implements StandIn {
    private static final int BACKLOG = 100;
    private static final int BUFFER_BYTES = 16_384;

    /** The connections that wait to be accepted while the link is silent; the rest hang. */
    private static final int SILENT_BACKLOG = 1;

    /** Far above the time that the operating system needs to accept a connection. */
    private static final int FILL_TIMEOUT_MILLIS = 100;

    private final Endpoint mServer;
    private final int mPort;
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();
    private final List<Thread> mCopiers = new CopyOnWriteArrayList<>();
    private final List<Socket> mFillers = new ArrayList<>();
    private volatile boolean mIsSilent;
    private ServerSocket mListener;
    private Thread mAcceptor;

    /** The effect of a partition on connections. */
    public enum Partition {
        /** New connections are refused, and open ones are reset. */
        RESET {
            @Override
            void apply(PartitionableLink link) throws IOException {
                link.stopListening();
                link.resetConnections();
            }
        },
        /** New connections are refused, and open ones live on. */
        REFUSE_NEW {
            @Override
            void apply(PartitionableLink link) throws IOException {
                link.stopListening();
            }
        },
        /** New connections are never opened, and open ones carry no bytes. */
        SILENT {
            @Override
            void apply(PartitionableLink link) throws IOException {
                link.mIsSilent = true;
                link.stopListening();
                link.hangNewConnections();
            }
        };

        abstract void apply(PartitionableLink link) throws IOException;
    }

    /** Creates a link to a server on a free port. */
    public PartitionableLink(Endpoint server) {
        mServer = server;
        try {
            mListener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        mPort = mListener.getLocalPort();
    }

    @Override
    public void start() {
        startAccepting(mListener);
    }

    /** Partitions the link. */
    public synchronized void partition(Partition partition) {
        try {
            partition.apply(this);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Ends the partition; bytes that were held up are lost with their connections. */
    public synchronized void heal() {
        try {
            stopListening();
            for (Socket filler : mFillers) {
                filler.close();
            }
            mFillers.clear();
            if (mIsSilent) {
                resetConnections();
                mIsSilent = false;
            }
            mListener = listen(BACKLOG);
            startAccepting(mListener);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private ServerSocket listen(int backlog) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort), backlog);
        return listener;
    }

    /** Stops listening; the port accepts connections until the acceptor has ended. */
    private void stopListening() throws IOException {
        mListener.close();
        join(mAcceptor);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets all connections; a socket is open until the thread that reads it has ended. */
    private void resetConnections() throws IOException {
        for (Socket connection : mConnections) {
            reset(connection);
        }
        mConnections.clear();
        mCopiers.forEach(PartitionableLink::join);
        mCopiers.clear();
    }

    private static void reset(Socket connection) throws IOException {
        try {
            connection.setSoLinger(true, 0);
        } catch (SocketException closed) {
            // The relay closed it because the other side was reset.
            return;
        }
        connection.close();
    }

    /** Listens without accepting, and fills the backlog so that the next connections hang. */
    private void hangNewConnections() throws IOException {
        mListener = listen(SILENT_BACKLOG);
        while (true) {
            Socket filler = new Socket();
            try {
                filler.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort),
                        FILL_TIMEOUT_MILLIS);
                mFillers.add(filler);
            } catch (SocketTimeoutException full) {
                filler.close();
                return;
            }
        }
    }

    private void startAccepting(ServerSocket listener) {
        mAcceptor =
                startThread(
                        () -> {
                            try {
                                while (true) {
                                    relay(listener.accept());
                                }
                            } catch (IOException closed) {
                                // The listener was closed.
                                return;
                            }
                        });
    }

    private void relay(Socket client) throws IOException {
        Socket server = new Socket(mServer.host(), mServer.port());
        server.setTcpNoDelay(true);
        client.setTcpNoDelay(true);
        mConnections.add(client);
        mConnections.add(server);
        mCopiers.add(startThread(() -> copy(client, server)));
        mCopiers.add(startThread(() -> copy(server, client)));
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                if (!mIsSilent) {
                    to.getOutputStream().write(buffer, 0, count);
                }
                count = input.read(buffer);
            }
        } catch (IOException closed) {
            // Either side closed the connection.
            return;
        }
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public Endpoint endpoint() {
        return new Endpoint(InetAddress.getLoopbackAddress().getHostAddress(), mPort);
    }

    @Override
    public synchronized void close() {
        try {
            stopListening();
            for (Socket filler : mFillers) {
                filler.close();
            }
            resetConnections();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
