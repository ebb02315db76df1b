package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.dahliapass.decisions.traffic.ConnectionPlan.ConnectionChoice;
import org.dahliapass.decisions.traffic.ConnectionPlan.ConnectionCounts;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConnectionPlan}. */
public final class ConnectionPlanTest {
    private ConnectionPlan mPlan;

    @BeforeMethod
    public void startAlone() {
        mPlan = new ConnectionPlan(350, 3);
    }

    @Test
    public void cellStaysBelowTheTargetsConnectionLimit() {
        for (int cellSize = 1; cellSize <= 40; cellSize++) {
            mPlan.onCellSize(cellSize);
            assertTrue(mPlan.limit() * cellSize <= 350, "cell of " + cellSize);
        }
    }

    @Test
    public void reusesIdleConnectionOrOpensOneUpToTheLimit() {
        mPlan.onCellSize(100);
        assertEquals(mPlan.limit(), 2);
        assertEquals(mPlan.choose(new ConnectionCounts(1, 1, 0, 0)), ConnectionChoice.REUSE);
        assertEquals(mPlan.choose(new ConnectionCounts(0, 1, 0, 0)), ConnectionChoice.OPEN);
        assertEquals(mPlan.choose(new ConnectionCounts(0, 1, 0, 1)), ConnectionChoice.WAIT);
    }

    @Test
    public void prewarmsOneConnectionBeyondThePeakUpToTheSlots() {
        assertEquals(mPlan.connectionsToPrewarm(new ConnectionCounts(0, 0, 0, 0), 0), 1);
        assertEquals(mPlan.connectionsToPrewarm(new ConnectionCounts(0, 1, 0, 0), 1), 1);
        assertEquals(mPlan.connectionsToPrewarm(new ConnectionCounts(0, 1, 1, 0), 1), 0);
        assertEquals(mPlan.connectionsToPrewarm(new ConnectionCounts(0, 0, 0, 0), 9), 3);
    }
}
