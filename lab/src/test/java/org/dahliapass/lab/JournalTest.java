package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests that the pages tell of each broken rule that the journal recorded. */
public final class JournalTest {
    private static final Path ROOT = Path.of("..");
    private static final int LARGE_FLEET = 60;
    private static final int DAYS_ASKED = 40;
    private static final int DAYS_ASKED_LARGE = 8;

    private static final String BROKEN =
            "{\"id\":\"826a3bf9\",\"cmd\":\"incident\",\"site\":\"s\",\"head\":\"h\","
                    + "\"days\":[{\"balancers\":88,\"rules\":{\"ROUTE\":1},\"fault\":null}]}";

    /** Guards against pages that call a run clean which broke a rule, or don't tell of it. */
    @Test
    public void pagesTellWhatTheJournalRecorded() throws IOException {
        List<String> problems = new ArrayList<>();
        List<JournalRecord> entries = new ArrayList<>();
        for (Path file : files(ROOT.resolve("journal"), ".json")) {
            try {
                entries.add(JournalRecord.read(file));
            } catch (IOException damaged) {
                problems.add(file.getFileName() + " can't be read: " + damaged.getMessage());
            }
        }
        List<String> incidents = texts(ROOT.resolve("docs/incidents"));
        List<String> findings = new ArrayList<>(incidents);
        findings.add(Files.readString(ROOT.resolve("docs/FINDINGS.md")));
        List<String> all = new ArrayList<>(incidents);
        all.addAll(texts(ROOT.resolve("docs")));
        problems.addAll(JournalPages.problems(entries, findings, all));
        printHunts(entries);
        assertEquals(String.join("\n", problems), "");
    }

    @Test
    public void entryThatNoPageNamesIsFound() throws IOException {
        List<JournalRecord> entries = List.of(JournalRecord.parse(BROKEN));
        List<String> named = List.of("| 826a3bf9 | ROUTE | open |");
        assertEquals(JournalPages.problems(entries, named, named), List.of());
        assertEquals(JournalPages.problems(entries, List.of(), List.of()).size(), 1);
        List<String> otherRule = List.of("| 826a3bf9 | DRAIN | open |\n| other | ROUTE |");
        assertEquals(JournalPages.problems(entries, otherRule, otherRule).size(), 1);
    }

    @Test
    public void entryThatIsCalledCleanIsFound() throws IOException {
        List<JournalRecord> entries = List.of(JournalRecord.parse(BROKEN));
        String page = "- 826a3bf9: ROUTE.\n\nThe first play (826a3bf9) broke no rule, it seems.";
        assertEquals(JournalPages.problems(entries, List.of(page), List.of(page)).size(), 1);
        String beside = "- 826a3bf9: ROUTE. In 12345678 no rule was broken.";
        assertEquals(JournalPages.problems(entries, List.of(beside), List.of(beside)), List.of());
    }

    @Test
    public void damagedEntryIsNamed() {
        assertThrows(IOException.class, () -> JournalRecord.parse(BROKEN.substring(0, 60)));
        assertThrows(IOException.class, () -> JournalRecord.parse("{}"));
    }

    /** Prints how many days were hunted on the sources as they are; fails on nothing. */
    private static void printHunts(List<JournalRecord> entries) {
        Map<String, Integer> asked = new TreeMap<>();
        Map<String, Integer> hunted = new TreeMap<>();
        for (JournalRecord entry : entries) {
            if (entry.days() == 0) {
                continue;
            }
            asked.merge(
                    entry.site(),
                    entry.vms() >= LARGE_FLEET ? DAYS_ASKED_LARGE : DAYS_ASKED,
                    Math::min);
            if (entry.command().equals("hunt") && hasPresentSources(entry.head())) {
                hunted.merge(entry.site(), entry.days(), Integer::sum);
            }
        }
        asked.forEach(
                (site, days) ->
                        System.out.printf(
                                "%s: %d of %d days hunted since the product's last change.%n",
                                site, hunted.getOrDefault(site, 0), days));
    }

    /** Returns false also where the commit isn't known here or there is no git. */
    private static boolean hasPresentSources(String head) {
        try {
            Process git =
                    new ProcessBuilder(
                                    "git",
                                    "diff",
                                    "--quiet",
                                    head,
                                    "HEAD",
                                    "--",
                                    "*/src/main/*",
                                    "deploy",
                                    "pom.xml")
                            .directory(ROOT.toFile())
                            .redirectErrorStream(true)
                            .start();
            return git.waitFor() == 0;
        } catch (IOException noGit) {
            return false;
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static List<String> texts(Path folder) throws IOException {
        List<String> texts = new ArrayList<>();
        for (Path file : files(folder, ".md")) {
            texts.add(Files.readString(file));
        }
        return texts;
    }

    private static List<Path> files(Path folder, String suffix) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(suffix)).sorted().toList();
        }
    }
}
