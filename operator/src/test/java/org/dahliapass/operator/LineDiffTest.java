package org.dahliapass.operator;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link LineDiff}. */
public final class LineDiffTest {
    private static final String OLD = "[a]\nx = 1\ny = 2\n[b]\nx = 1\n";

    @Test
    public void equalTextsHaveNoDifference() {
        assertEquals(LineDiff.between(OLD, OLD), List.of());
    }

    @Test
    public void changedLineIsShownInItsSection() {
        assertEquals(
                LineDiff.between(OLD, "[a]\nx = 1\ny = 2\n[b]\nx = 3\n"),
                List.of("in [b]:", "-x = 1", "+x = 3"));
    }

    @Test
    public void changesAreGroupedBySection() {
        assertEquals(
                LineDiff.between(OLD, "[a]\ny = 2\n[b]\nx = 1\nz = 4\n"),
                List.of("in [a]:", "-x = 1", "in [b]:", "+z = 4"));
    }

    @Test
    public void allLinesOfNewTextAreAdded() {
        assertEquals(LineDiff.between("", "[a]\nx = 1\n"), List.of("in [a]:", "+[a]", "+x = 1"));
    }
}
