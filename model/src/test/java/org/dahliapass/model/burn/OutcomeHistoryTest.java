package org.dahliapass.model.burn;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;

/** Tests {@link OutcomeHistory}. */
public final class OutcomeHistoryTest {
    private static final long START = 1_800_000_000_000L;
    private static final long SECOND = 1_000;
    private static final long MINUTE = 60 * SECOND;
    private static final long HOUR = 60 * MINUTE;

    private final OutcomeHistory mHistory = new OutcomeHistory(3);

    @Test
    public void recordCountsEachOutcomeSeparately() {
        OutcomeHistory history = new OutcomeHistory(1);
        int count = 0;
        for (Outcome outcome : Outcome.values()) {
            count++;
            for (int repetition = 0; repetition < count; repetition++) {
                history.record("himal", "desk", "lock", 0.99, outcome, START);
            }
        }

        ErrorBudgetBucket bucket = history.buckets(START).get(0);

        assertEquals(
                Arrays.stream(Outcome.values()).map(bucket::count).toList(),
                List.of(1L, 2L, 3L, 4L, 5L, 6L));
        assertEquals(bucket.bad(), 20);
        assertEquals(bucket.widthMillis(), 10 * SECOND);
    }

    @Test
    public void recordCountsBadRequestsAsGivenByTheCaller() {
        OutcomeHistory history = new OutcomeHistory(1);
        history.record("himal", "desk", "lock", 0.99, Outcome.REFUSED, false, START);
        history.record("himal", "desk", "lock", 0.99, Outcome.REFUSED, true, START);

        ErrorBudgetBucket bucket = history.buckets(START).get(0);

        assertEquals(bucket.refused(), 2);
        assertEquals(bucket.bad(), 1);
    }

    @Test
    public void bucketsCountEachRequestOnceAtAnyTime() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
        for (int trial = 0; trial < 50; trial++) {
            OutcomeHistory history = new OutcomeHistory(1);
            long now = START + random.nextLong(HOUR);
            for (int request = 0; request < 300; request++) {
                now += random.nextLong(MINUTE);
                history.record("himal", "desk", "lock", 0.99, Outcome.GOOD, now);
            }
            long end = now;
            List<ErrorBudgetBucket> buckets = history.buckets(end);

            assertEquals(buckets.stream().mapToLong(ErrorBudgetBucket::good).sum(), 300);
            assertTrue(
                    buckets.stream()
                            .filter(bucket -> bucket.startMillis() >= end - 5 * MINUTE)
                            .allMatch(bucket -> bucket.widthMillis() == 10 * SECOND));
        }
    }

    @Test
    public void bucketsOmitOutcomesOlderThanSixHours() {
        OutcomeHistory history = new OutcomeHistory(1);
        history.record("himal", "desk", "lock", 0.99, Outcome.CUT, START);

        assertEquals(history.buckets(START + 6 * HOUR).size(), 1);
        assertEquals(history.buckets(START + 6 * HOUR + 5 * MINUTE).size(), 0);
    }

    @Test
    public void recordCountsRequestsOfNewKindsAsUncountedIfFull() {
        for (String customer : List.of("a", "b", "c", "d")) {
            mHistory.record(customer, "desk", "lock", 0.99, Outcome.GOOD, START);
        }
        assertEquals(mHistory.uncounted(), 1);
        assertEquals(mHistory.buckets(START).size(), 3);

        mHistory.record("d", "desk", "lock", 0.99, Outcome.GOOD, START + 7 * HOUR);

        assertEquals(mHistory.uncounted(), 1);
        assertEquals(mHistory.buckets(START + 7 * HOUR, "d"::equals).size(), 1);
    }

    @Test
    public void recordAcceptsOutOfOrderRequests() {
        OutcomeHistory history = new OutcomeHistory(1);
        history.record("himal", "desk", "lock", 0.99, Outcome.GOOD, START);
        history.record("himal", "desk", "lock", 0.99, Outcome.GOOD, START - 10 * MINUTE);

        assertEquals(history.buckets(START).stream().mapToLong(ErrorBudgetBucket::good).sum(), 2);
    }
}
