package org.dahliapass.model;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An IP address and port.
 *
 * @param host the IP address
 * @param port the TCP or UDP port, 1 to 65535
 */
public record Endpoint(String host, int port) implements Comparable<Endpoint> {
    private static final int MAX_PORT = 65_535;

    private static final Pattern PORT_PATTERN = Pattern.compile("[0-9]{1,5}");

    /** Parses an endpoint of the form {@code host:port}; returns empty for any other format. */
    public static Optional<Endpoint> parse(String text) {
        int colon = text.lastIndexOf(':');
        String digits = text.substring(colon + 1);
        if (colon <= 0 || !PORT_PATTERN.matcher(digits).matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(digits);
        return port > 0 && port <= MAX_PORT
                ? Optional.of(new Endpoint(text.substring(0, colon), port))
                : Optional.empty();
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
