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
 * Fuzzes home, witness and resolver together. A failure prints the seed and a schedule from which
 * no step can be left out without losing the failure.
 *
 * <p>{@code -Ddahliapass.fuzz.seconds=N} goes on for N seconds with new seeds.
 */
public final class OnceFuzzTest {

    private static final long SEED = 20_261_202;
    private static final int SCHEDULES = 10_000;
    private static final int MAX_STEPS = 80;
    private static final int FAULTLESS_STEPS = 30;
    private static final String SECONDS = "dahliapass.fuzz.seconds";

    /** Small tables that are often full, and tables that never are. */
    @DataProvider
    public Object[][] sound() {
        return faultsWhere(true);
    }

    /** Each guard that can be taken out. */
    @DataProvider
    public Object[][] planted() {
        return faultsWhere(false);
    }

    /**
     * VMs die, freeze, restart and lose touch of each other, callers repeat keys anywhere, targets
     * run requests late: no key runs twice, and nobody is told anything that is or becomes untrue.
     */
    @Test(dataProvider = "sound")
    public void anySchedule(OnceFault none) {
        fixed().forAll(OnceStep.schedules(MAX_STEPS, true)).checkAssert(truthful(none));
    }

    /** With nothing going wrong, every request ends in its result. */
    @Test
    public void faultlessSchedule() {
        Gen<List<OnceStep>> schedules = OnceStep.schedules(FAULTLESS_STEPS, false);
        fixed().forAll(schedules).checkAssert(shrinking(OnceFuzzTest::checkAllRun));
    }

    /** Goes on with new seeds for as long as asked, and does nothing otherwise. */
    @Test(dataProvider = "sound")
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

    /** The same fuzz with the same seed finds every guard that is missing. */
    @Test(dataProvider = "planted")
    public void plantedFault(OnceFault fault) {
        AssertionError found =
                expectThrows(
                        AssertionError.class,
                        () ->
                                fixed().forAll(OnceStep.schedules(MAX_STEPS, true))
                                        .checkAssert(truthful(fault)));
        assertTrue(found.getMessage().contains("Shortest schedule"), found.getMessage());
        assertTrue(found.getMessage().contains("Seed was " + SEED), found.getMessage());
    }

    private static QuickTheory fixed() {
        // The library shrinks values well but lists of steps badly; shrinking() does that instead.
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
        OnceSchedule schedule = new OnceSchedule(OnceFault.NONE_WITH_ROOM).run(steps);
        for (Operation operation : schedule.operations()) {
            assertTrue(schedule.oracle().hasRun(operation), "Not run without any fault.");
        }
        schedule.sendAllAgain();
        for (Operation operation : schedule.operations()) {
            assertEquals(schedule.lastTold(operation).getClass(), OperationAnswer.Result.class);
        }
    }

    private static Object[][] faultsWhere(boolean none) {
        return Arrays.stream(OnceFault.values())
                .filter(fault -> fault.isNone() == none)
                .map(fault -> new Object[] {fault})
                .toArray(Object[][]::new);
    }
}
