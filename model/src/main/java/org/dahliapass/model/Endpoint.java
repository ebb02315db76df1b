package org.dahliapass.model;

import java.util.Optional;

/**
 * An IP address and port.
 *
 * @param host the IP address
 * @param port the TCP or UDP port, 1 to 65535
 */
public record Endpoint(String host, int port) implements Comparable<Endpoint> {
    private static final int MAX_PORT = 65_535;

    /** Parses an endpoint of the form {@code host:port}; returns empty for any other format. */
    public static Optional<Endpoint> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port > 0 && port <= MAX_PORT
                    ? Optional.of(new Endpoint(text.substring(0, colon), port))
                    : Optional.empty();
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(Endpoint other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
