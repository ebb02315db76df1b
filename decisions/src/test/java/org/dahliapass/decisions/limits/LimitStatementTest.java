package org.dahliapass.decisions.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the values of a request limit that are accepted. */
public final class LimitStatementTest {
    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {{"2.9", 2.9}, {" 0 ", 0.0}, {".5", 0.5}, {"120.", 120.0}};
    }

    @Test(dataProvider = "numbers")
    public void decimalNumberIsALimit(String value, double limit) {
        assertEquals(
                LimitStatement.parse(List.of(value)), new LimitStatement.Limited(limit), value);
    }

    @DataProvider
    public Object[][] others() {
        return new Object[][] {
            {""},
            {"few"},
            {"-1"},
            {"NaN"},
            {"Infinity"},
            {"1e9"},
            {"2,9"},
            {"0x1p3"},
            {"."},
            {"9".repeat(5_000)}
        };
    }

    /** Guards against a limit that no request rate can be compared with. */
    @Test(dataProvider = "others")
    public void otherValueIsMalformed(String value) {
        LimitStatement statement = LimitStatement.parse(List.of(value));
        assertTrue(statement instanceof LimitStatement.Malformed, statement.toString());
        assertTrue(statement.toString().length() < 60, "the value is logged");
    }

    @Test
    public void lowestOfSeveralLimitsApplies() {
        assertEquals(
                LimitStatement.parse(List.of("4", "few", "3.5")), new LimitStatement.Limited(3.5));
    }

    @Test
    public void responseWithoutLimitIsUnlimited() {
        assertEquals(LimitStatement.parse(List.of()), LimitStatement.UNLIMITED);
    }
}
