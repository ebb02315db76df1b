package org.dahliapass.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * One entry of the journal of measured runs.
 *
 * @param id identifies the entry
 * @param command the command that was run
 * @param site the deployment
 * @param head the commit that was run
 * @param vms the number of VMs of the deployment, 0 if no day was run
 * @param days the number of days that were run
 * @param brokenRules the rules that any day broke
 * @param aborted whether any day was aborted
 */
record JournalRecord(
        String id,
        String command,
        String site,
        String head,
        int vms,
        int days,
        Set<String> brokenRules,
        boolean aborted) {
    private static final ObjectMapper PARSER = new ObjectMapper();

    /**
     * Reads an entry from a file.
     *
     * @throws IOException if it is cut or damaged
     */
    static JournalRecord read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    /**
     * Parses an entry.
     *
     * @throws IOException if it is cut or damaged
     */
    static JournalRecord parse(String text) throws IOException {
        JsonNode entry = PARSER.readTree(text);
        if (!entry.path("id").isTextual()) {
            throw new IOException("The entry has no id.");
        }
        Set<String> brokenRules = new TreeSet<>();
        boolean aborted = false;
        int vms = 0;
        for (JsonNode day : entry.path("days")) {
            day.path("rules").fieldNames().forEachRemaining(brokenRules::add);
            aborted |= !day.path("fault").asText("").isEmpty() && !day.path("fault").isNull();
            vms = Math.max(vms, day.path("balancers").asInt());
        }
        return new JournalRecord(
                entry.path("id").asText(),
                entry.path("cmd").asText(),
                entry.path("site").asText(),
                entry.path("head").asText(),
                vms,
                entry.path("days").size(),
                brokenRules,
                aborted);
    }
}
