package org.dahliapass.lab;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;

/**
 * The line by which a VM says that it has started.
 *
 * @param callers where callers reach it
 * @param peers where other VMs reach it
 * @param operators where operators reach it
 */
record ReadyLine(Endpoint callers, Endpoint peers, Endpoint operators) {
    private static final String FIRST_WORD = "ready ";

    /** Returns whether a line of a VM's output is its ready line. */
    static boolean is(String line) {
        return line.startsWith(FIRST_WORD);
    }

    /** Reads the line. */
    static ReadyLine parse(String line) {
        Map<String, String> fields =
                Arrays.stream(line.substring(FIRST_WORD.length()).split(" "))
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
