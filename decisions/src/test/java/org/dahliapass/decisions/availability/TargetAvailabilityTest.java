package org.dahliapass.decisions.availability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests {@link TargetAvailability}. */
public final class TargetAvailabilityTest {
    private static final AvailabilityStatement LEAVING =
            new AvailabilityStatement(true, OptionalLong.empty(), List.of());

    private final TargetAvailability mAvailability = new TargetAvailability();

    /** Guards against a target that counts as staying after one response without the header. */
    @Test
    public void leavingIsNeverWithdrawn() {
        assertTrue(mAvailability.onStatement("i-1@0", LEAVING, 10));
        assertFalse(mAvailability.onStatement("i-1@0", LEAVING, 20));
        assertFalse(mAvailability.onStatement("i-1@0", AvailabilityStatement.NONE, 30));
        assertEquals(mAvailability.of("i-1@0").leavingSinceMillis(), OptionalLong.of(10));
    }

    /** Guards against a new target that gets no requests because its predecessor was leaving. */
    @Test
    public void statementHoldsForOneIncarnation() {
        mAvailability.onStatement("i-1@0", LEAVING, 10);
        assertFalse(mAvailability.of("i-1@1").isLeaving());
    }
}
