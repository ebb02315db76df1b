package org.dahliapass.decisions.availability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TargetAvailability}. */
public final class TargetAvailabilityTest {
    private static final AvailabilityStatement LEAVING =
            new AvailabilityStatement(true, OptionalLong.empty(), List.of());

    private static final String TARGET = "i-1@0";

    private TargetAvailability mAvailability;

    @BeforeMethod
    public void startEmpty() {
        mAvailability = new TargetAvailability(new SplittableRandom(1));
    }

    /** Guards against a target that counts as staying after one response without the header. */
    @Test
    public void leavingIsNeverWithdrawn() {
        assertTrue(mAvailability.onStatement(TARGET, LEAVING, 0, 10));
        assertFalse(mAvailability.onStatement(TARGET, LEAVING, 0, 20));
        assertFalse(mAvailability.onStatement(TARGET, AvailabilityStatement.NONE, 20, 30));
        assertEquals(mAvailability.of(TARGET).leavingSinceMillis(), OptionalLong.of(10));
        assertFalse(mAvailability.allows(TARGET, 0, 1_000_000));
    }

    /** Guards against a new target that gets no requests because its predecessor was leaving. */
    @Test
    public void statementHoldsForOneIncarnation() {
        mAvailability.onStatement(TARGET, LEAVING, 0, 10);
        mAvailability.onStatement(TARGET, rest(3_000), 0, 10);
        assertTrue(mAvailability.allows("i-1@1", 0, 20));
    }

    /** Guards against a request before the end of a rest, however short a later one is. */
    @Test
    public void laterStatementDoesNotShortenARest() {
        mAvailability.onStatement(TARGET, rest(3_000), 0, 0);
        mAvailability.onStatement(TARGET, rest(500), 0, 100);
        mAvailability.onStatement(TARGET, AvailabilityStatement.NONE, 50, 200);
        assertFalse(mAvailability.allows(TARGET, 0, 2_999));
        assertTrue(mAvailability.allows(TARGET, 0, 3_600));
    }

    /** Guards against a stampede at the end of a rest. */
    @Test
    public void targetGetsOneRequestAtATimeAfterARest() {
        mAvailability.onStatement(TARGET, rest(1_000), 0, 0);
        assertTrue(mAvailability.allows(TARGET, 0, 1_200));
        assertFalse(mAvailability.allows(TARGET, 1, 1_200));
        mAvailability.onStatement(TARGET, AvailabilityStatement.NONE, 900, 1_300);
        assertFalse(mAvailability.allows(TARGET, 1, 1_300));
        mAvailability.onStatement(TARGET, AvailabilityStatement.NONE, 1_200, 1_400);
        assertTrue(mAvailability.allows(TARGET, 1, 1_400));
        assertTrue(mAvailability.isEmpty());
    }

    /** Guards against a leaving target that is used again because its entry in the store lapsed. */
    @Test
    public void statementOutlastsALapsedEntry() {
        mAvailability.onStatement(TARGET, LEAVING, 0, 0);
        mAvailability.evict(incarnation -> false, 60_000);
        assertFalse(mAvailability.allows(TARGET, 0, 60_000));
    }

    /** Guards against state that grows with every target that was ever replaced. */
    @Test
    public void statementsOfTargetsThatAreGoneAreEvicted() {
        mAvailability.onStatement(TARGET, LEAVING, 0, 0);
        mAvailability.onStatement("i-2@0", rest(1_000), 0, 0);
        mAvailability.onStatement("i-3@0", LEAVING, 0, 0);
        mAvailability.evict("i-3@0"::equals, 700_000);
        assertFalse(mAvailability.of(TARGET).isLeaving());
        assertTrue(mAvailability.of("i-2@0").restEndMillis().isEmpty());
        assertTrue(mAvailability.of("i-3@0").isLeaving());
    }

    /** Guards against messages that are repeated for as long as a target is known to leave. */
    @Test
    public void otherVmsAreToldForAShortWhileOfOwnResponses() {
        mAvailability.onStatement(TARGET, LEAVING, 0, 0);
        assertTrue(mAvailability.onPeerLeaving("i-2@0", 0));
        assertEquals(mAvailability.recentlyLeaving(100, 2_000), List.of(TARGET));
        assertEquals(mAvailability.recentlyLeaving(100, 4_000), List.of());
    }

    /** Guards against news that no report holds because many VMs share the reports. */
    @Test
    public void otherVmsAreToldByAtLeastTwoReports() {
        mAvailability.onStatement(TARGET, LEAVING, 0, 0);
        mAvailability.onStatement("i-2@0", rest(60_000), 0, 0);
        assertEquals(mAvailability.recentlyLeaving(20_000, 40_000), List.of(TARGET));
        assertEquals(mAvailability.recentlyResting(20_000, 40_000), List.of("i-2@0"));
        assertEquals(mAvailability.recentlyLeaving(20_000, 40_001), List.of());
        assertEquals(mAvailability.recentlyResting(20_000, 40_001), List.of());
    }

    /** Guards against news of a rest that has ended or that was told long ago. */
    @Test
    public void otherVmsAreToldOfPresentRests() {
        mAvailability.onStatement(TARGET, rest(3_000), 0, 0);
        mAvailability.onStatement("i-2@0", rest(100), 0, 0);
        assertEquals(mAvailability.recentlyResting(100, 500), List.of(TARGET));
        assertEquals(mAvailability.recentlyResting(100, 1_500), List.of());
    }

    private static AvailabilityStatement rest(long millis) {
        return new AvailabilityStatement(false, OptionalLong.of(millis), List.of());
    }
}
