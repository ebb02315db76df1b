package org.dahliapass.standins;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;

/**
 * A server stand-in that answers each connection with raw bytes as soon as a request begins to
 * arrive.
 */
public final class RawServerStandIn implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final ServerSocket mServer;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();

    /** Listens on a free port of the loopback address. */
    public RawServerStandIn() throws IOException {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Returns the address of the server. */
    public Endpoint address() {
        return new Endpoint(mServer.getInetAddress().getHostAddress(), mServer.getLocalPort());
    }

    /** Answers all connections, and ends each in an orderly way once the request was read. */
    public void respond(String response) {
        serve(
                connection -> {
                    write(connection, response);
                    connection.shutdownOutput();
                    readToEnd(connection);
                });
    }

    /** Answers all connections, and resets each after the client has received the response. */
    public void respondAndReset(String response, CompletableFuture<Void> received) {
        serve(
                connection -> {
                    write(connection, response);
                    received.join();
                    connection.setSoLinger(true, 0);
                });
    }

    /** Answers all connections, and ends its side of each without reading the request. */
    public void respondAndEnd(String response) {
        serve(
                connection -> {
                    write(connection, response);
                    connection.shutdownOutput();
                    mClosed.join();
                });
    }

    private void serve(Exchange exchange) {
        Thread server =
                new Thread(
                        () -> {
                            while (!mServer.isClosed()) {
                                serveNext(exchange);
                            }
                        });
        server.setDaemon(true);
        server.start();
    }

    private void serveNext(Exchange exchange) {
        try (Socket connection = mServer.accept()) {
            InputStream input = connection.getInputStream();
            if (input.read() >= 0) {
                exchange.run(connection);
            }
        } catch (IOException closed) {
            // The client or the test has closed the connection.
        }
    }

    private static void readToEnd(Socket connection) throws IOException {
        byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
        InputStream input = connection.getInputStream();
        int read = input.read(buffer);
        while (read >= 0) {
            read = input.read(buffer);
        }
    }

    private static void write(Socket connection, String response) throws IOException {
        connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        mClosed.complete(null);
        mServer.close();
    }

    /** What the server does on a connection once a request has begun to arrive. */
    private interface Exchange {
        void run(Socket connection) throws IOException;
    }
}
