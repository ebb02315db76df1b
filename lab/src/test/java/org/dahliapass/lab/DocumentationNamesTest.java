package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that the classes and members named in code marks on the pages exist in the sources. */
public final class DocumentationNamesTest {
    private static final Path ROOT = Path.of("..");

    private static final Pattern CODE = Pattern.compile("`([^`\\n]+)`");

    /** A class name, perhaps with a member; header names such as Retry-After are not classes. */
    private static final Pattern NAME =
            Pattern.compile(
                    "(?<![\\w/.-])(?<type>[A-Z][a-z0-9]+[A-Za-z0-9]*)(?:#(?<member>\\w+))?"
                            + "(?![\\w-])|^#(?<alone>\\w+)");

    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|interface|record|enum|assert|pred|check|sig) (\\w+)");

    private static final Pattern WORD = Pattern.compile("\\w+");

    /** The words of each file that declares a type, by the type's name. */
    private final Map<String, Set<String>> mWordsByType = new HashMap<>();

    private final Set<String> mAllWords = new HashSet<>();

    @BeforeClass
    public void readSources() throws IOException {
        for (Path module : children(ROOT)) {
            if (Files.isDirectory(module.resolve("src"))) {
                for (Path file : files(module.resolve("src"), ".java", ".als")) {
                    readSource(Files.readString(file));
                }
            }
        }
    }

    /** Guards against pages that still name a class or test which was renamed or removed. */
    @Test
    public void pagesNameOnlyWhatTheSourcesHold() throws IOException {
        List<String> problems = new ArrayList<>();
        for (Path page : files(ROOT.resolve("docs"), ".md")) {
            unknownNames(Files.readString(page))
                    .forEach(name -> problems.add(page.getFileName() + ": " + name));
        }
        unknownNames(Files.readString(ROOT.resolve("README.md")))
                .forEach(name -> problems.add("README.md: " + name));
        assertEquals(String.join("\n", problems), "");
    }

    @Test
    public void unknownNamesAreFound() {
        String type = DocumentationNamesTest.class.getSimpleName();
        assertEquals(
                unknownNames("`" + type + "`, `" + type + "#readSources`, `#readSources`"),
                List.of());
        assertEquals(unknownNames("plain NoSuchType; `Retry-After`"), List.of());
        String missing = "No" + "SuchType";
        assertEquals(unknownNames("`" + missing + "`"), List.of(missing));
        assertEquals(unknownNames("`a." + type + "`, `" + missing + "#run`"), List.of(missing));
        String member = "no" + "SuchMember";
        assertEquals(unknownNames("`" + type + "#" + member + "`"), List.of(type + "#" + member));
        assertEquals(unknownNames("`#" + member + "`"), List.of("#" + member));
    }

    private List<String> unknownNames(String page) {
        List<String> unknown = new ArrayList<>();
        Matcher code = CODE.matcher(page);
        while (code.find()) {
            Matcher name = NAME.matcher(code.group(1));
            while (name.find()) {
                unknownName(name.group("type"), name.group("member"), name.group("alone"), unknown);
            }
        }
        return unknown;
    }

    private void unknownName(String type, String member, String alone, List<String> unknown) {
        if (alone != null) {
            if (!mAllWords.contains(alone)) {
                unknown.add("#" + alone);
            }
            return;
        }
        Set<String> words = mWordsByType.get(type);
        if (words == null) {
            unknown.add(type);
            return;
        }
        if (member != null && !words.contains(member)) {
            unknown.add(type + "#" + member);
        }
    }

    private void readSource(String source) {
        Set<String> words = new HashSet<>();
        WORD.matcher(source).results().forEach(word -> words.add(word.group()));
        mAllWords.addAll(words);
        Matcher declaration = DECLARATION.matcher(source);
        while (declaration.find()) {
            mWordsByType
                    .computeIfAbsent(declaration.group(1), unused -> new HashSet<>())
                    .addAll(words);
        }
    }

    private static List<Path> children(Path folder) throws IOException {
        try (Stream<Path> children = Files.list(folder)) {
            return children.sorted().toList();
        }
    }

    private static List<Path> files(Path folder, String... suffixes) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .filter(file -> Stream.of(suffixes).anyMatch(file.toString()::endsWith))
                    .sorted()
                    .toList();
        }
    }
}
