package org.dahliapass.decisions.configuration;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.time.Clock;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs seeded schedules of faults over the production classes, against the oracle.
 *
 * <p>{@code -Ddahliapass.fuzz.seconds=N} goes on for N seconds with new seeds.
 */
public final class ConfigurationFuzzTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 3000;
    private static final String SECONDS = "dahliapass.fuzz.seconds";

    // Operators race and die between any two steps, the store's answers are lost, late or missing,
    // messages are lost, doubled and out of order, and VMs are replaced. Whatever comes: the order
    // has each accepted change once and no refused one, no VM goes back, and once it is calm every
    // VM that serves a customer has the newest template.
    @Test
    public void productionClassesKeepTheOrder() {
        long accepted = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            accepted += runSound(seed);
        }
        assertTrue(accepted > SCHEDULES, "The schedules accept too little: " + accepted);
    }

    /** Goes on with new seeds for as long as asked, and does nothing otherwise. */
    @Test
    public void longRun() {
        Instant end = Clock.systemUTC().instant().plusSeconds(Long.getLong(SECONDS, 0));
        RandomGenerator seeds = RandomGenerator.getDefault();
        while (Clock.systemUTC().instant().isBefore(end)) {
            runSound(seeds.nextLong());
        }
    }

    /** Runs a schedule without a planted fault and returns how many changes were accepted. */
    private static long runSound(long seed) {
        FuzzSchedule schedule = FuzzSchedule.of(seed);
        FuzzSchedule.Result result = schedule.run(InjectedFault.NONE);
        if (result.failure().isPresent()) {
            fail(describe(seed, schedule.shrunk(InjectedFault.NONE), result));
        }
        return result.accepted();
    }

    private static String describe(long seed, FuzzSchedule shrunk, FuzzSchedule.Result original) {
        return String.format(
                "seed %d: %s%nshrunk to %d steps: %s%n%s",
                seed,
                original.failure().orElseThrow(),
                shrunk.steps().size(),
                shrunk.run(InjectedFault.NONE).failure().orElseThrow(),
                shrunk.steps());
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {InjectedFault.NO_MONOTONE_CHECK},
            {InjectedFault.NO_POINTER},
            {InjectedFault.LOST_MEANS_NOT_WRITTEN},
        };
    }

    @Test(dataProvider = "faults")
    public void plantedFaultIsFound(InjectedFault fault) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            Optional<String> failure = FuzzSchedule.of(seed).run(fault).failure();
            if (failure.isPresent() && failure.get().contains(fault.symptom())) {
                return;
            }
        }
        fail("No schedule found " + fault + ".");
    }
}
