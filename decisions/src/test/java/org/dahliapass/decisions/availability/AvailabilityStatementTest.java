package org.dahliapass.decisions.availability;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests reading what responses say of the availability of their targets. */
public final class AvailabilityStatementTest {
    private static final int UNAVAILABLE = 503;

    @DataProvider
    public Object[][] leaving() {
        return new Object[][] {
            {List.of("1"), true, List.of()},
            {List.of(" 1 "), true, List.of()},
            {List.of("0"), false, List.of()},
            {List.of("0", "1"), true, List.of()},
            {List.of(""), false, List.of("")},
            {List.of("soon", "1"), true, List.of("soon")},
            {List.of("x".repeat(100)), false, List.of("x".repeat(32))},
        };
    }

    @Test(dataProvider = "leaving")
    public void leavingIsRead(List<String> values, boolean isLeaving, List<String> malformed) {
        assertEquals(
                AvailabilityStatement.parse(values, 200, List.of()),
                new AvailabilityStatement(isLeaving, OptionalLong.empty(), malformed));
    }

    @DataProvider
    public Object[][] rests() {
        return new Object[][] {
            {List.of("3"), OptionalLong.of(3_000), List.of()},
            {List.of("0.0625"), OptionalLong.of(63), List.of()},
            {List.of(" .5"), OptionalLong.of(500), List.of()},
            {List.of("0"), OptionalLong.of(0), List.of()},
            {List.of("1", "2"), OptionalLong.of(2_000), List.of()},
            {List.of("1", "soon"), OptionalLong.of(1_000), List.of("soon")},
            {List.of("-3"), OptionalLong.empty(), List.of("-3")},
            {List.of("1e9"), OptionalLong.empty(), List.of("1e9")},
            {List.of("NaN"), OptionalLong.empty(), List.of("NaN")},
            {List.of("9".repeat(400)), OptionalLong.of(300_000), List.of()},
        };
    }

    /** Guards against a malformed or huge value that takes a target out of use for good. */
    @Test(dataProvider = "rests")
    public void restIsRead(List<String> values, OptionalLong restMillis, List<String> malformed) {
        assertEquals(
                AvailabilityStatement.parse(List.of(), UNAVAILABLE, values),
                new AvailabilityStatement(false, restMillis, malformed));
    }

    /** Guards against a success for a later retry that takes its target out of use. */
    @Test
    public void onlyUnavailableTargetsAskForRest() {
        assertEquals(
                AvailabilityStatement.parse(List.of(), 200, List.of("3")),
                AvailabilityStatement.NONE);
    }
}
