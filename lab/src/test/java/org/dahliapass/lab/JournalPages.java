package org.dahliapass.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Compares what pages say of runs with what the journal recorded. */
final class JournalPages {
    private static final Pattern CALLED_CLEAN =
            Pattern.compile(
                    "no rule (was )?broken|no broken rule|broke no rule|breaks no rule"
                            + "|showed nothing|nothing (was )?seen|\\b0 broken",
                    Pattern.CASE_INSENSITIVE);

    /** A table's row or a list's item speaks for itself, and so does a paragraph. */
    private static final Pattern PARTS = Pattern.compile("\\n\\s*\\n|\\n(?=\\||- )");

    private static final Pattern SENTENCES = Pattern.compile("(?<=[.;:])\\s+|\\|");

    private JournalPages() {}

    /**
     * Returns what the pages lack or say wrongly.
     *
     * @param findings the pages on which each broken rule and each day that was given up stands
     * @param all all pages
     */
    static List<String> problems(
            List<JournalRecord> entries, List<String> findings, List<String> all) {
        List<String> problems = new ArrayList<>();
        for (JournalRecord entry : entries) {
            for (String rule : entry.brokenRules()) {
                if (parts(findings, entry.id()).noneMatch(part -> part.contains(rule))) {
                    problems.add(
                            entry.id() + " broke " + rule + ", which no page on findings says.");
                }
            }
            if (entry.aborted() && parts(findings, entry.id()).findAny().isEmpty()) {
                problems.add(entry.id() + " was given up, which no page on findings says.");
            }
            if (!entry.brokenRules().isEmpty() && isCalledClean(entry.id(), all)) {
                problems.add(
                        entry.id() + " broke " + entry.brokenRules() + ", and is called clean.");
            }
        }
        return problems;
    }

    private static Stream<String> parts(List<String> pages, String id) {
        return pages.stream()
                .flatMap(page -> Arrays.stream(PARTS.split(page)))
                .filter(part -> part.contains(id));
    }

    private static boolean isCalledClean(String id, List<String> pages) {
        return parts(pages, id)
                .flatMap(part -> Arrays.stream(SENTENCES.split(part.replace('\n', ' '))))
                .filter(sentence -> sentence.contains(id))
                .anyMatch(sentence -> CALLED_CLEAN.matcher(sentence).find());
    }
}
