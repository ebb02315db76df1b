package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link IniFile}. */
public final class IniFileTest {
    @Test
    public void fileWithOnlyRequestedKeysIsValid() {
        IniFile file = IniFile.parse("vm.ini", "; a comment\n[vm]\nname = a1\n");

        assertEquals(file.section("vm").text("name"), "a1");
        file.throwIfInvalid();
    }

    @Test
    public void unknownSectionsAndKeysAreReportedWithTheExpectedKeys() {
        IniFile file = IniFile.parse("vm.ini", "[vm]\nname = a1\nnmae = a2\n[vn]\nname = a3\n");
        String unused = file.section("vm").text("name");

        List<SettingsProblem> problems = problemsOf(file);

        assertEquals(
                problems.get(0).describe(),
                "vm.ini [vm] nmae: met an unknown key; allowed: one of name");
        assertEquals(problems.get(1).section(), "vn");
        assertEquals(problems.size(), 2);
    }

    @Test
    public void missingSectionIsOneProblemRegardlessOfRequestedKeys() {
        IniFile file = IniFile.parse("vm.ini", "");
        long unused = file.section("vm").number("port", 1, 9) + file.section("vm").size("s", 0, 1);

        assertTrue(problemsOf(file).stream().allMatch(problem -> problem.key().isEmpty()));
    }

    @Test
    public void missingOptionalSectionIsValid() {
        IniFile file = IniFile.parse("vm.ini", "");

        assertFalse(file.optionalSection("vm").isPresent());
        file.throwIfInvalid();
    }

    @Test
    public void duplicateSectionIsReported() {
        IniFile file = IniFile.parse("vm.ini", "[vm]\na = 1\n[vm]\na = 2\n");
        String unused = file.section("vm").text("a");

        assertEquals(problemsOf(file).get(0).actual(), "2 sections of this name");
    }

    @Test
    public void sectionsWithPrefixKeepsTheFilesOrder() {
        IniFile file = IniFile.parse("t.ini", "[kind b]\n[service x]\n[kind a]\n[kinds c]\n");

        List<String> names =
                file.sectionsWithPrefix("kind").stream().map(IniSection::name).toList();

        assertEquals(names, List.of("kind b", "kind a"));
    }

    @Test
    public void parseRejectsTextThatIsNotIni() {
        expectThrows(SettingsException.class, () -> IniFile.parse("vm.ini", "name\n"));
    }

    @Test
    public void readReportsTheMissingFile() {
        SettingsException failure =
                expectThrows(SettingsException.class, () -> IniFile.read(Path.of("no-such.ini")));

        assertEquals(failure.problems().get(0).file(), "no-such.ini");
    }

    private static List<SettingsProblem> problemsOf(IniFile file) {
        return expectThrows(SettingsException.class, file::throwIfInvalid).problems();
    }
}
