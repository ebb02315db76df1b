package org.dahliapass.decisions.traffic;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.dahliapass.decisions.traffic.RetryDecision.Retry;
import org.dahliapass.decisions.traffic.RetryDecision.Stop;
import org.dahliapass.decisions.traffic.RetryDecision.StopReason;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link RetryPolicy} and {@link HedgePolicy}, which share a {@link RetryBudget}. */
public final class RetryPolicyTest {
    private static final Set<Endpoint> TRIED = Set.of(Kinds.endpoint(0));
    private static final long DEADLINE = 1_000_000;

    private SlotTable mSlots;
    private PassiveFailureDetector mEvidence;
    private ServiceTimeEstimator mTimes;
    private RetryPolicy mRetries;
    private HedgePolicy mHedges;

    @BeforeMethod
    public void startFresh() {
        RetryBudget budget = new RetryBudget();
        start(budget, budget);
    }

    @Test
    public void retryGoesToAnotherTarget() {
        for (int count = 0; count < 2; count++) {
            RetryDecision decision = decide(Kinds.LOOKUP, FailureKind.TIMED_OUT);
            assertNotEquals(((Retry) decision).target(), Kinds.endpoint(0));
        }
        assertStopped(decide(Kinds.LOOKUP, FailureKind.TIMED_OUT), StopReason.BUDGET_EXHAUSTED);
    }

    // A sign-off stands twice in a file: the first target ran it, its answer was lost, and the
    // request was sent again. Only a proof that no try has run allows another.
    @Test
    public void guardedRequestIsRetriedOnlyAfterProof() {
        for (FailureKind failure : FailureKind.values()) {
            startFresh();
            boolean goes = decide(Kinds.SIGN_OFF, failure) instanceof Retry;
            assertEquals(goes, !failure.mayHaveRun(), "retry after " + failure);
        }
        FailedAttempt earlierMayHaveRun =
                new FailedAttempt(
                        Kinds.SIGN_OFF, FailureKind.CONNECT_FAILED, true, TRIED, 2, DEADLINE);
        assertStopped(mRetries.decide(earlierMayHaveRun, false, 0), StopReason.MAY_HAVE_RUN);
    }

    @Test
    public void noRetryWhenNobodyWaits() {
        RetryDecision decision = decide(Kinds.LOOKUP, FailureKind.CANCELLED_BY_CALLER);
        assertStopped(decision, StopReason.CALLER_GONE);
    }

    @Test
    public void noRetryWhenTheAnswerWouldBeTooLate() {
        mTimes.onAttemptEnded(Kinds.LOOKUP, 100, true, 0);
        FailedAttempt failed = failed(Kinds.LOOKUP, FailureKind.TIMED_OUT);
        assertStopped(mRetries.decide(failed, false, DEADLINE - 99), StopReason.TOO_LATE);
        assertTrue(mRetries.decide(failed, false, DEADLINE - 100) instanceof Retry);
    }

    @Test
    public void neitherRetryNorHedgeInOverload() {
        FailedAttempt failed = failed(Kinds.LOOKUP, FailureKind.SERVER_ERROR);
        assertStopped(mRetries.decide(failed, true, 0), StopReason.OVERLOADED);
        assertTrue(mHedges.tryStart(Kinds.LOOKUP, TRIED, DEADLINE, true, 0).isEmpty());
    }

    @Test
    public void oneHedgeForIdempotentRequestAndNoneForGuarded() {
        assertTrue(mHedges.tryStart(Kinds.SIGN_OFF, TRIED, DEADLINE, false, 0).isEmpty());
        doubtFirstTarget(0);
        Optional<Endpoint> hedge = mHedges.tryStart(Kinds.LOOKUP, TRIED, DEADLINE, false, 0);
        Set<Endpoint> tried = Set.of(Kinds.endpoint(0), hedge.orElseThrow());
        assertEquals(tried.size(), 2);
        assertTrue(mHedges.tryStart(Kinds.LOOKUP, tried, DEADLINE, false, 0).isEmpty());
    }

    /**
     * Reads that just take long would spend the further tries that failures need: their target
     * proves itself all the time by other work.
     */
    @Test
    public void slowAnswerOfASoundTargetGetsNoHedge() {
        start(new RetryBudget(), new RetryBudget());
        mEvidence.onPeerObservation(
                new TargetObservation(Kinds.endpoint(0), Observation.ANSWERED, 0));
        assertTrue(mHedges.tryStart(Kinds.LOOKUP, TRIED, DEADLINE, false, 0).isEmpty());
        doubtFirstTarget(1);
        assertTrue(mHedges.tryStart(Kinds.LOOKUP, TRIED, DEADLINE, false, 1).isPresent());
    }

    private void doubtFirstTarget(long nowMillis) {
        for (int number = 0; number < 3; number++) {
            mEvidence.onPeerObservation(
                    new TargetObservation(Kinds.endpoint(0), Observation.ERROR, nowMillis));
        }
    }

    // Targets fail for load, each failure brings a retry, and the load doubles. So further tries
    // of both sorts together stay within a share of the first tries of the last seconds.
    @Test
    public void furtherTriesStayWithinTheBudget() {
        qt().withFixedSeed(1)
                .withExamples(100)
                .forAll(longs().all())
                .checkAssert(seed -> checkBudget(seed, true));
    }

    @Test
    public void twoBudgetsInsteadOfOneAreFound() {
        AssertionError error = expectThrows(AssertionError.class, () -> checkBudget(1, false));
        assertTrue(error.getMessage().contains("further tries"), error.getMessage());
    }

    private void checkBudget(long seed, boolean shared) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget();
        RetryBudget other = shared ? budget : new RetryBudget();
        start(budget, other);
        int[] firstTries = new int[60];
        int[] furtherTries = new int[60];
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(200)) {
            int second = (int) (now / 1_000);
            firstTries[second]++;
            budget.onFirstAttempt(Kinds.LOOKUP, now);
            if (!shared) {
                other.onFirstAttempt(Kinds.LOOKUP, now);
            }
            FailedAttempt failed = failed(Kinds.LOOKUP, FailureKind.TIMED_OUT);
            if (random.nextBoolean() && mRetries.decide(failed, false, now) instanceof Retry) {
                furtherTries[second]++;
                checkWindow(firstTries, furtherTries, second);
            }
            doubtFirstTarget(now);
            if (mHedges.tryStart(Kinds.LOOKUP, TRIED, DEADLINE, false, now).isPresent()) {
                furtherTries[second]++;
                checkWindow(firstTries, furtherTries, second);
            }
        }
        double allowedInAll = 6 * 2 + 0.1 * sum(firstTries, 0, 59);
        assertTrue(sum(furtherTries, 0, 59) <= allowedInAll, "further tries of the minute");
    }

    /** Each further try is within the budget of the ten seconds that end with it. */
    private static void checkWindow(int[] firstTries, int[] furtherTries, int second) {
        int first = Math.max(0, second - 9);
        double allowed = 2 + 0.1 * sum(firstTries, first, second);
        int used = sum(furtherTries, first, second);
        assertTrue(used <= allowed, used + " further tries, allowed " + allowed);
    }

    private static int sum(int[] values, int from, int to) {
        int sum = 0;
        for (int index = from; index <= to; index++) {
            sum += values[index];
        }
        return sum;
    }

    private void start(RetryBudget retryBudget, RetryBudget hedgeBudget) {
        mSlots = new SlotTable(10_000, 1_000);
        mTimes = new ServiceTimeEstimator();
        mEvidence = new PassiveFailureDetector(mTimes, mSlots);
        LoadBalancer balancer =
                new LoadBalancer("", 0, mSlots, 0.5, new SplittableRandom(1), mEvidence);
        balancer.onTargets(Kinds.targets(3));
        mRetries = new RetryPolicy(retryBudget, balancer, mSlots, mTimes);
        mHedges = new HedgePolicy(hedgeBudget, balancer, mSlots, mTimes, mEvidence);
    }

    private RetryDecision decide(RequestKind kind, FailureKind failure) {
        return mRetries.decide(failed(kind, failure), false, 0);
    }

    private static FailedAttempt failed(RequestKind kind, FailureKind failure) {
        return new FailedAttempt(kind, failure, failure.mayHaveRun(), TRIED, 1, DEADLINE);
    }

    private static void assertStopped(RetryDecision decision, StopReason reason) {
        assertEquals(decision, new Stop(reason));
    }
}
