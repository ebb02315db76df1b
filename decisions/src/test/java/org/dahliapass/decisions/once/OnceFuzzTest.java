package org.dahliapass.decisions.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quicktheories.QuickTheory;
import org.quicktheories.core.Gen;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fuzz test of home, witness and resolver together. A failure prints the seed and a minimal failing
 * schedule.
 *
 * <p>{@code -Ddahliapass.fuzz.seconds=N} continues with new seeds for N seconds.
 */
public final class OnceFuzzTest {

    private static final long SEED = 20_261_202;
    private static final int SCHEDULES = 10_000;
    private static final int MAX_STEPS = 80;
    private static final int FAULTLESS_STEPS = 30;
    private static final String SECONDS = "dahliapass.fuzz.seconds";

    /** Provides small tables, which are often full, and large ones. */
    @DataProvider
    public Object[][] withoutFault() {
        return faultsWhere(true);
    }

    /** Provides each injectable fault. */
    @DataProvider
    public Object[][] withFault() {
        return faultsWhere(false);
    }

    /**
     * No key runs twice and no answer is or becomes false, while VMs restart, pause and lose
     * messages, callers repeat keys anywhere and targets run requests late.
     */
    @Test(dataProvider = "withoutFault")
    public void answersAreTruthfulOnAnySchedule(OnceFault none) {
        fixedSeed().forAll(OnceStep.schedules(MAX_STEPS, true)).checkAssert(truthful(none));
    }

    /** Without faults, every request ends with its result. */
    @Test
    public void everyRequestRunsWithoutFaults() {
        Gen<List<OnceStep>> schedules = OnceStep.schedules(FAULTLESS_STEPS, false);
        fixedSeed().forAll(schedules).checkAssert(shrinking(OnceFuzzTest::checkAllRun));
    }

    /** Runs new seeds for the requested time; does nothing by default. */
    @Test(dataProvider = "withoutFault")
    public void longRun(OnceFault none) {
        long seconds = Long.getLong(SECONDS, 0);
        if (seconds > 0) {
            QuickTheory.qt()
                    .withUnlimitedExamples()
                    .withTestingTime(Math.max(1, seconds / 2), TimeUnit.SECONDS)
                    .withShrinkCycles(0)
                    .forAll(OnceStep.schedules(MAX_STEPS, true))
                    .checkAssert(truthful(none));
        }
    }

    /** The fuzz test detects each disabled guard. */
    @Test(dataProvider = "withFault")
    public void injectedFaultIsDetected(OnceFault fault) {
        AssertionError found =
                expectThrows(
                        AssertionError.class,
                        () ->
                                fixedSeed()
                                        .forAll(OnceStep.schedules(MAX_STEPS, true))
                                        .checkAssert(truthful(fault)));
        assertTrue(found.getMessage().contains("Shortest schedule"), found.getMessage());
        assertTrue(found.getMessage().contains("Seed was " + SEED), found.getMessage());
    }

    private static QuickTheory fixedSeed() {
        // The library shrinks lists of steps poorly; shrinking() does that instead.
        return QuickTheory.qt().withFixedSeed(SEED).withExamples(SCHEDULES).withShrinkCycles(0);
    }

    private static Consumer<List<OnceStep>> truthful(OnceFault fault) {
        return shrinking(steps -> new OnceSchedule(fault).run(steps).repeatEverything());
    }

    private static Consumer<List<OnceStep>> shrinking(Consumer<List<OnceStep>> check) {
        return steps -> {
            if (fails(check, steps)) {
                List<OnceStep> shortest = shortest(check, steps);
                AssertionError cause =
                        expectThrows(AssertionError.class, () -> check.accept(shortest));
                throw new AssertionError(
                        cause.getMessage() + "\nShortest schedule: " + shortest, cause);
            }
        };
    }

    private static List<OnceStep> shortest(Consumer<List<OnceStep>> check, List<OnceStep> steps) {
        List<OnceStep> shortest = new ArrayList<>(steps);
        int before;
        do {
            before = shortest.size();
            for (int index = shortest.size() - 1; index >= 0; index--) {
                List<OnceStep> shorter = new ArrayList<>(shortest);
                shorter.remove(index);
                shortest = fails(check, shorter) ? shorter : shortest;
            }
        } while (shortest.size() < before);
        return shortest;
    }

    private static boolean fails(Consumer<List<OnceStep>> check, List<OnceStep> steps) {
        try {
            check.accept(steps);
            return false;
        } catch (AssertionError expected) {
            return true;
        }
    }

    private static void checkAllRun(List<OnceStep> steps) {
        OnceSchedule schedule = new OnceSchedule(OnceFault.NONE_WITH_LARGE_TABLES).run(steps);
        for (Operation operation : schedule.operations()) {
            assertTrue(
                    schedule.oracle().hasRun(operation),
                    "Expected every operation to run without faults");
        }
        schedule.resendAll();
        for (Operation operation : schedule.operations()) {
            assertEquals(schedule.lastAnswer(operation).getClass(), OperationAnswer.Result.class);
        }
    }

    private static Object[][] faultsWhere(boolean none) {
        return Arrays.stream(OnceFault.values())
                .filter(fault -> fault.isNone() == none)
                .map(fault -> new Object[] {fault})
                .toArray(Object[][]::new);
    }
}
