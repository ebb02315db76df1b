package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests of {@link StoreAvailability}. */
public final class StoreAvailabilityTest {
    private static final long GAP = AnswerPeriod.MAX_GAP_MILLIS;

    @Test
    public void answersWithoutALongGapExtendThePeriod() {
        StoreAvailability availability = new StoreAvailability();
        assertEquals(availability.period(), Optional.empty());
        assertTrue(availability.add(AnswerPeriod.at(1_000)));
        assertFalse(availability.add(AnswerPeriod.at(1_000 + GAP)));
        assertEquals(
                availability.period(), Optional.of(new AnswerPeriod(1_000, 1_000 + GAP, false)));
    }

    /** Guards against a service without targets after an outage that made no call fail. */
    @Test
    public void longGapStartsANewPeriod() {
        StoreAvailability availability = new StoreAvailability();
        availability.add(AnswerPeriod.at(1_000));
        assertTrue(availability.add(AnswerPeriod.at(1_001 + GAP)));
        assertEquals(availability.latestReturnMillis(), OptionalLong.of(1_001 + GAP));
    }

    /** Guards against the delay of one VM that counts as an outage of the store. */
    @Test
    public void answersToAnotherVmCloseAGap() {
        StoreAvailability availability = new StoreAvailability();
        availability.add(AnswerPeriod.at(1_000));
        availability.add(AnswerPeriod.at(9_000));
        assertTrue(availability.add(new AnswerPeriod(200, 8_500, false)));
        assertEquals(availability.period(), Optional.of(new AnswerPeriod(200, 9_000, false)));
        assertEquals(availability.latestReturnMillis(), OptionalLong.empty());
    }

    /** Guards against old answers of another VM that hide the return of the store. */
    @Test
    public void answersBeforeAnOutageDoNotReplaceThoseAfterIt() {
        StoreAvailability availability = new StoreAvailability();
        availability.add(AnswerPeriod.at(9_000));
        assertTrue(availability.add(new AnswerPeriod(200, 5_000, false)));
        assertFalse(availability.add(new AnswerPeriod(200, 5_000, false)));
        assertEquals(availability.latestReturnMillis(), OptionalLong.of(9_000));
    }

    /** Guards against targets that a VM drops which started after the store had returned. */
    @Test
    public void returnBeforeTheStartIsKnownFromAnotherVm() {
        StoreAvailability availability = new StoreAvailability();
        availability.add(AnswerPeriod.at(1_000));
        assertEquals(availability.latestReturnMillis(), OptionalLong.empty());
        assertTrue(availability.add(new AnswerPeriod(400, 900, true)));
        assertEquals(availability.latestReturnMillis(), OptionalLong.of(400));
    }

    /** Guards against targets that a VM drops which started during an outage. */
    @Test
    public void firstAnswerAfterAFailureIsAReturn() {
        StoreAvailability availability = new StoreAvailability();
        availability.onFailure();
        availability.add(AnswerPeriod.at(1_000));
        availability.onFailure();
        availability.add(AnswerPeriod.at(1_500));
        assertEquals(availability.latestReturnMillis(), OptionalLong.of(1_000));
    }
}
