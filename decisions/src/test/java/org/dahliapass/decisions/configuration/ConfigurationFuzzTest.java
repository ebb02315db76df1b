package org.dahliapass.decisions.configuration;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs seeded schedules of faults over the production classes, against the oracle. */
public final class ConfigurationFuzzTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 3000;

    // Operators race and die between any two steps, the store's answers are lost, late or missing,
    // messages are lost, doubled and out of order, and VMs are replaced. Whatever comes: the order
    // has each accepted change once and no refused one, no VM goes back, and once it is calm every
    // VM that serves a customer has the newest template.
    @Test
    public void productionClassesKeepTheOrder() {
        long accepted = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            FuzzSchedule schedule = FuzzSchedule.of(seed);
            FuzzSchedule.Result result = schedule.run(PlantedFault.NONE);
            if (result.failure().isPresent()) {
                fail(describe(seed, schedule.shrunk(PlantedFault.NONE), result));
            }
            accepted += result.accepted();
        }
        assertTrue(accepted > SCHEDULES, "The schedules accept too little: " + accepted);
    }

    private static String describe(long seed, FuzzSchedule shrunk, FuzzSchedule.Result original) {
        return String.format(
                "seed %d: %s%nshrunk to %d steps: %s%n%s",
                seed,
                original.failure().orElseThrow(),
                shrunk.steps().size(),
                shrunk.run(PlantedFault.NONE).failure().orElseThrow(),
                shrunk.steps());
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {PlantedFault.NO_MONOTONE_CHECK},
            {PlantedFault.NO_POINTER},
            {PlantedFault.LOST_MEANS_NOT_WRITTEN},
        };
    }

    @Test(dataProvider = "faults")
    public void plantedFaultIsFound(PlantedFault fault) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            Optional<String> failure = FuzzSchedule.of(seed).run(fault).failure();
            if (failure.isPresent() && failure.get().contains(fault.symptom())) {
                return;
            }
        }
        fail("No schedule found " + fault + ".");
    }
}
