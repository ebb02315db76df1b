package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link IniSection}. */
public final class IniSectionTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration HOUR = Duration.ofHours(1);

    private enum Speed {
        SLOW,
        VERY_FAST
    }

    /** Getter, accepted text, its parsed value, and rejected texts. */
    @DataProvider
    public Object[][] getters() {
        return new Object[][] {
            row(s -> s.text("k"), "a b", "a b", List.of("")),
            row(s -> s.number("k", 1, 5), "5", 5L, List.of("0", "6", "1.5", "x", "")),
            row(s -> s.decimal("k", 0, 1), "0.25", 0.25, List.of("-1", "1.1", "NaN", "x")),
            row(s -> s.fraction("k"), "12.5%", 0.125, List.of("0.5", "101%", "-1%", "%")),
            row(s -> s.duration("k", SECOND, HOUR), "2m", Duration.ofMinutes(2), DURATIONS),
            row(s -> s.size("k", 1, 1 << 20), "64KB", 65_536L, List.of("0B", "2MB", "64", "9kb")),
            row(s -> s.yesNo("k"), "yes", true, List.of("true", "YES", "1")),
            row(
                    s -> s.enumValue("k", Speed.class),
                    "very-fast",
                    Speed.VERY_FAST,
                    List.of("VERY_FAST")),
            row(s -> s.list("k"), "a, b,,c", List.of("a", "b", "c"), List.of("")),
        };
    }

    private static final List<String> DURATIONS = List.of("999ms", "2h", "5", "5 m", "-5s", "1d");

    private static Object[] row(
            Function<IniSection, Object> getter,
            String accepted,
            Object value,
            List<String> rejected) {
        return new Object[] {getter, accepted, value, rejected};
    }

    @Test(dataProvider = "getters")
    public void getterAcceptsAndRejects(
            Function<IniSection, Object> getter,
            String accepted,
            Object value,
            List<String> rejected) {
        IniFile valid = IniFile.parse("f.ini", "[s]\nk = " + accepted + "\n");
        assertEquals(getter.apply(valid.section("s")), value);
        valid.throwIfInvalid();

        for (String text : rejected) {
            IniFile invalid = IniFile.parse("f.ini", "[s]\nk = " + text + "\n");
            Object unused = getter.apply(invalid.section("s"));

            List<SettingsProblem> problems =
                    expectThrows(SettingsException.class, invalid::throwIfInvalid).problems();

            assertEquals(problems.size(), 1, text);
            assertEquals(problems.get(0).actual(), "'" + text + "'");
            assertEquals(problems.get(0).key(), "k");
        }
    }

    @Test
    public void getterWithFallbackAcceptsAMissingKeyButNoInvalidValue() {
        IniFile file = IniFile.parse("f.ini", "[s]\nwrong = 9\n");
        IniSection section = file.section("s");

        assertEquals(section.number("missing", 1, 5, 3), 3);
        assertTrue(section.isValid());
        long unused = section.number("wrong", 1, 5, 3);

        assertFalse(section.isValid());
    }

    @Test
    public void duplicateKeyIsReported() {
        IniFile file = IniFile.parse("f.ini", "[s]\nk = 1\nk = 2\n");
        long unused = file.section("s").number("k", 1, 5);

        List<SettingsProblem> problems =
                expectThrows(SettingsException.class, file::throwIfInvalid).problems();

        assertEquals(problems.get(0).actual(), "2 values");
    }

    @Test
    public void qualifiersAreTheWordsAfterTheFirst() {
        IniFile file = IniFile.parse("f.ini", "[kind desk listing]\n");

        assertEquals(file.section("kind desk listing").qualifiers(), List.of("desk", "listing"));
    }
}
