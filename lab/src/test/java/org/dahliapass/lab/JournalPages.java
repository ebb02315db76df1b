package org.dahliapass.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Checks that the documentation pages agree with the journal of runs. */
final class JournalPages {
    private static final Pattern REPORTED_CLEAN =
            Pattern.compile(
                    "no rule (was )?broken|no broken rule|broke no rule|breaks no rule"
                            + "|showed nothing|nothing (was )?seen|\\b0 broken",
                    Pattern.CASE_INSENSITIVE);

    /** Splits a page into paragraphs, table rows and list items. */
    private static final Pattern PARAGRAPHS = Pattern.compile("\\n\\s*\\n|\\n(?=\\||- )");

    private static final Pattern SENTENCES = Pattern.compile("(?<=[.;:])\\s+|\\|");

    private JournalPages() {}

    /**
     * Returns the omissions and contradictions of the pages.
     *
     * @param findings the pages that must name each broken rule and each aborted day
     * @param allPages all pages
     */
    static List<String> problems(
            List<JournalRecord> entries, List<String> findings, List<String> allPages) {
        List<String> problems = new ArrayList<>();
        for (JournalRecord entry : entries) {
            for (String rule : entry.brokenRules()) {
                if (paragraphs(findings, entry.id())
                        .noneMatch(paragraph -> paragraph.contains(rule))) {
                    problems.add(
                            entry.id() + " broke " + rule + ", which no page on findings says.");
                }
            }
            if (entry.aborted() && paragraphs(findings, entry.id()).findAny().isEmpty()) {
                problems.add(entry.id() + " was given up, which no page on findings says.");
            }
            if (!entry.brokenRules().isEmpty() && isReportedClean(entry.id(), allPages)) {
                problems.add(
                        entry.id() + " broke " + entry.brokenRules() + ", and is called clean.");
            }
        }
        return problems;
    }

    private static Stream<String> paragraphs(List<String> pages, String id) {
        return pages.stream()
                .flatMap(page -> Arrays.stream(PARAGRAPHS.split(page)))
                .filter(paragraph -> paragraph.contains(id));
    }

    private static boolean isReportedClean(String id, List<String> pages) {
        return paragraphs(pages, id)
                .flatMap(paragraph -> Arrays.stream(SENTENCES.split(paragraph.replace('\n', ' '))))
                .filter(sentence -> sentence.contains(id))
                .anyMatch(sentence -> REPORTED_CLEAN.matcher(sentence).find());
    }
}
