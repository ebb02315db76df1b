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
 * Fuzz test: runs seeded schedules of faults on the production classes and checks them against an
 * oracle.
 *
 * <p>{@code -Ddahliapass.fuzz.seconds=N} continues with new seeds for N seconds.
 */
public final class ConfigurationFuzzTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 3000;
    private static final String SECONDS = "dahliapass.fuzz.seconds";

    // The log has each accepted change once, no VM reverts to an older change, and after the faults
    // every VM that serves a customer has the newest template.
    @Test
    public void followersConvergeOnAcceptedChanges() {
        long accepted = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            accepted += runWithoutFault(seed);
        }
        assertTrue(
                accepted > SCHEDULES,
                "Expected more than " + SCHEDULES + " accepted changes, got " + accepted);
    }

    /** Runs new seeds for the requested time; does nothing by default. */
    @Test
    public void longRun() {
        Instant end = Clock.systemUTC().instant().plusSeconds(Long.getLong(SECONDS, 0));
        RandomGenerator seeds = RandomGenerator.getDefault();
        while (Clock.systemUTC().instant().isBefore(end)) {
            runWithoutFault(seeds.nextLong());
        }
    }

    /** Runs a schedule without an injected fault; returns the number of accepted changes. */
    private static long runWithoutFault(long seed) {
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
            {InjectedFault.NO_MONOTONICITY_CHECK},
            {InjectedFault.NO_POINTER},
            {InjectedFault.LOST_RESPONSE_AS_NOT_WRITTEN},
        };
    }

    @Test(dataProvider = "faults")
    public void injectedFaultIsDetected(InjectedFault fault) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            Optional<String> failure = FuzzSchedule.of(seed).run(fault).failure();
            if (failure.isPresent() && failure.get().contains(fault.symptom())) {
                return;
            }
        }
        fail("Expected a schedule to detect " + fault + ".");
    }
}
