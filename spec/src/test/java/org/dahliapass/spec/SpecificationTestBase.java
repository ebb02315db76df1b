package org.dahliapass.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks one specification: whole, it keeps its promises in the written scope; without any one of
 * its guards, a promise breaks; and it has interesting traces.
 */
abstract class SpecificationTestBase {
    /** Starts the name of an assertion that the protocol doesn't promise. */
    private static final String UNPROMISED = "unpromised";

    private final AlloyRunner mRunner;
    private final List<Variant> mVariants;

    /**
     * Names what there is to check.
     *
     * @param resource file name of the specification
     * @param variants for each guard, the promise that breaks without it counterexample
     */
    SpecificationTestBase(String resource, List<Variant> variants) {
        mRunner = AlloyRunner.forResource(resource);
        mVariants = variants;
    }

    /** A guard to switch off, and the promise that then has a counterexample. */
    record Variant(String guard, String violatedAssertion) {}

    /** Runs the commands of the specification under test. */
    AlloyRunner runner() {
        return mRunner;
    }

    @DataProvider
    Object[][] promises() {
        Stream<String> promises = mRunner.assertionNames().stream();
        return rows(promises.filter(promise -> !promise.startsWith(UNPROMISED)));
    }

    @DataProvider
    Object[][] variants() {
        return rows(mVariants.stream());
    }

    private static Object[][] rows(Stream<?> cells) {
        return cells.map(cell -> new Object[] {cell}).toArray(Object[][]::new);
    }

    @Test
    void interestingTracesExist() {
        assertTrue(
                mRunner.isSatisfiable("interesting"), "No interesting trace: the facts contradict");
    }

    @Test(dataProvider = "promises")
    void wholeSpecificationKeepsPromise(String promise) {
        assertFalse(mRunner.isSatisfiable(promise), "Counterexample to " + promise);
    }

    @Test(dataProvider = "variants")
    void withoutGuardPromiseBreaks(Variant variant) {
        assertTrue(
                mRunner.isSatisfiableWithout(variant.guard(), variant.violatedAssertion()),
                "No counterexample; the guard isn't needed or the scope is too small: " + variant);
    }

    @Test
    void eachGuardHasVariant() {
        List<String> switchedOff = mVariants.stream().map(Variant::guard).distinct().toList();
        assertEquals(switchedOff, mRunner.guardNames(), "Guards and variants differ");
    }
}
