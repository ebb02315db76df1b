package org.dahliapass.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one entry of the journal of measured runs says.
 *
 * @param id identifies the entry
 * @param command how it was played
 * @param site the deployment
 * @param head the commit that was played
 * @param vms the VMs of the deployment, 0 if no day was played
 * @param days how many days were played
 * @param brokenRules the rules that any of its days broke
 * @param aborted whether any of its days was not played to its end
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
     * Reads an entry.
     *
     * @throws IOException if it is cut or damaged
     */
    static JournalRecord read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    /**
     * Reads an entry from its text.
     *
     * @throws IOException if it is cut or damaged
     */
    static JournalRecord parse(String text) throws IOException {
        JsonNode entry = PARSER.readTree(text);
        if (!entry.path("id").isTextual()) {
            throw new IOException("The entry has no id.");
        }
        Set<String> broken = new TreeSet<>();
        boolean givenUp = false;
        int vms = 0;
        for (JsonNode day : entry.path("days")) {
            day.path("rules").fieldNames().forEachRemaining(broken::add);
            givenUp |= !day.path("fault").asText("").isEmpty() && !day.path("fault").isNull();
            vms = Math.max(vms, day.path("balancers").asInt());
        }
        return new JournalRecord(
                entry.path("id").asText(),
                entry.path("cmd").asText(),
                entry.path("site").asText(),
                entry.path("head").asText(),
                vms,
                entry.path("days").size(),
                broken,
                givenUp);
    }
}
