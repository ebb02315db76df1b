package org.dahliapass.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A base for the tests of a specification: its assertions hold within the scope, removing any guard
 * violates an assertion, and a trace of interest exists.
 */
abstract class SpecificationTestBase {
    /** The name prefix of assertions that the protocol doesn't guarantee. */
    private static final String NOT_GUARANTEED_PREFIX = "unpromised";

    private final AlloyRunner mRunner;
    private final List<Variant> mVariants;

    /**
     * Creates the test of a specification.
     *
     * @param resource the file name of the specification
     * @param variants for each guard, an assertion that is violated without it
     */
    SpecificationTestBase(String resource, List<Variant> variants) {
        mRunner = AlloyRunner.forResource(resource);
        mVariants = variants;
    }

    /** A guard to remove and the assertion that then has a counterexample. */
    record Variant(String guard, String violatedAssertion) {}

    /** Returns the runner of the specification under test. */
    AlloyRunner runner() {
        return mRunner;
    }

    @DataProvider
    Object[][] assertions() {
        Stream<String> assertions = mRunner.assertionNames().stream();
        return rows(assertions.filter(assertion -> !assertion.startsWith(NOT_GUARANTEED_PREFIX)));
    }

    @DataProvider
    Object[][] variants() {
        return rows(mVariants.stream());
    }

    private static Object[][] rows(Stream<?> cells) {
        return cells.map(cell -> new Object[] {cell}).toArray(Object[][]::new);
    }

    @Test
    void interestingTraceExists() {
        assertTrue(
                mRunner.isSatisfiable("interesting"),
                "no interesting trace: the facts may be contradictory");
    }

    @Test(dataProvider = "assertions")
    void assertionHolds(String assertion) {
        assertFalse(mRunner.isSatisfiable(assertion), "Counterexample to " + assertion);
    }

    @Test(dataProvider = "variants")
    void assertionFailsWithoutGuard(Variant variant) {
        assertTrue(
                mRunner.isSatisfiableWithout(variant.guard(), variant.violatedAssertion()),
                "no counterexample: the guard is redundant or the scope is too small: " + variant);
    }

    @Test
    void eachGuardHasVariant() {
        List<String> removedGuards = mVariants.stream().map(Variant::guard).distinct().toList();
        assertEquals(
                removedGuards,
                mRunner.guardNames(),
                "each guard must have a variant, in source order");
    }
}
