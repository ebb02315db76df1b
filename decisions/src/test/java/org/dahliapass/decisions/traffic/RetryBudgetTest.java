package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.dahliapass.model.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public final class RetryBudgetTest {
    private static final int FIRST_TRIES = 1_005;
    private static final long WINDOW_MILLIS = 10_000;

    private RetryBudget mBudget;

    @BeforeMethod
    public void start() {
        mBudget = new RetryBudget();
    }

    @Test
    public void smallServiceMayTryAgainAtAll() {
        assertTrue(mBudget.hasRemaining(Kinds.LOOKUP, 0));
    }

    /**
     * Sign-offs would be refused although they have not run and other targets are free. Hedges of
     * lookups use up the budget in a calm moment; then targets begin to refuse, and nothing is left
     * for offering a sign-off elsewhere.
     */
    @Test
    public void lookupsLeaveAPartOfTheBudgetToSignOffs() {
        firstTries();
        int ofLookups = spendAll(Kinds.LOOKUP);
        assertFalse(mBudget.hasRemaining(Kinds.LOOKUP, 0));
        assertTrue(mBudget.hasRemaining(Kinds.SIGN_OFF, 0));
        int ofSignOffs = spendAll(Kinds.SIGN_OFF);
        assertTrue(ofSignOffs > ofLookups / 3, ofLookups + " and " + ofSignOffs);
    }

    @Test
    public void signOffsMaySpendAll() {
        firstTries();
        int all = spendAll(Kinds.SIGN_OFF);
        assertEquals(all, (int) (2 + FIRST_TRIES * Kinds.LOOKUP.retryShare()));
    }

    @Test
    public void whatWasSpentIsForgottenAfterTheWindow() {
        firstTries();
        spendAll(Kinds.SIGN_OFF);
        assertTrue(mBudget.hasRemaining(Kinds.SIGN_OFF, WINDOW_MILLIS));
    }

    private void firstTries() {
        for (int number = 0; number < FIRST_TRIES; number++) {
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
}
