package org.dahliapass.lab;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;

/**
 * The line that a VM prints when it has started.
 *
 * @param callers the endpoint for callers
 * @param peers the endpoint for other VMs
 * @param operators the endpoint for operators
 */
record ReadyLine(Endpoint callers, Endpoint peers, Endpoint operators) {
    private static final String PREFIX = "ready ";

    /** Returns whether a line of a VM's output is the ready line. */
    static boolean is(String line) {
        return line.startsWith(PREFIX);
    }

    /** Parses the line. */
    static ReadyLine parse(String line) {
        Map<String, String> fields =
                Arrays.stream(line.substring(PREFIX.length()).split(" "))
                        .map(field -> field.split("=", 2))
                        .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
        return new ReadyLine(
                endpoint(fields.get("callers")),
                endpoint(fields.get("peers")),
                endpoint(fields.get("operators")));
    }

    private static Endpoint endpoint(String text) {
        return Endpoint.parse(text).orElseThrow();
    }
}
