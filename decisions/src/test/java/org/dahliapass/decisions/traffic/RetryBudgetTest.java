package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.dahliapass.decisions.limits.RetryAllowance;
import org.dahliapass.model.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public final class RetryBudgetTest {
    private static final int FIRST_ATTEMPTS = 1_005;
    private static final long WINDOW_MILLIS = 10_000;

    private RetryBudget mBudget;

    @BeforeMethod
    public void start() {
        mBudget = new RetryBudget();
    }

    @Test
    public void allowsRetriesAtLowTraffic() {
        assertTrue(mBudget.hasRemaining(Kinds.LOOKUP, 0));
    }

    /** Hedges of reads must not use up the budget for requests that must not be repeated. */
    @Test
    public void lookupsLeaveAPartOfTheBudgetForSignOffs() {
        recordFirstAttempts();
        int lookups = spendAll(Kinds.LOOKUP);
        assertFalse(mBudget.hasRemaining(Kinds.LOOKUP, 0));
        assertTrue(mBudget.hasRemaining(Kinds.SIGN_OFF, 0));
        int signOffs = spendAll(Kinds.SIGN_OFF);
        assertTrue(signOffs > lookups / 3, lookups + " and " + signOffs);
    }

    @Test
    public void signOffsMayUseTheWholeBudget() {
        recordFirstAttempts();
        int all = spendAll(Kinds.SIGN_OFF);
        assertEquals(all, (int) (2 + FIRST_ATTEMPTS * Kinds.LOOKUP.retryShare()));
    }

    @Test
    public void usedBudgetIsRestoredAfterTheWindow() {
        recordFirstAttempts();
        spendAll(Kinds.SIGN_OFF);
        assertTrue(mBudget.hasRemaining(Kinds.SIGN_OFF, WINDOW_MILLIS));
    }

    private void recordFirstAttempts() {
        for (int number = 0; number < FIRST_ATTEMPTS; number++) {
            mBudget.onFirstAttempt(Kinds.LOOKUP, 0);
        }
    }

    private int spendAll(RequestKind kind) {
        int spent = 0;
        while (mBudget.hasRemaining(kind, 0)) {
            mBudget.onExtraAttempt(0);
            spent++;
        }
        return spent;
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{18, 24}, {102, 176}, {3_700, 700}};
    }

    /** The retries of all VMs together must not grow with the number of VMs. */
    @Test(dataProvider = "fleets")
    public void allowanceIsSharedByTheFleet(int vms, int fleetRetries) {
        int spent = 0;
        for (int vm = 0; vm < vms; vm++) {
            RetryBudget budget = new RetryBudget();
            budget.setAllowance(() -> RetryAllowance.perVm(fleetRetries, vms, true));
            while (budget.hasRemaining(Kinds.LOOKUP, 0)) {
                budget.onExtraAttempt(0);
                spent++;
            }
        }
        assertTrue(spent <= fleetRetries, spent + " retries");
    }
}
