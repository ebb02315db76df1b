package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.dahliapass.model.ServiceId;
import org.testng.annotations.Test;

/** Tests {@link RateLimiter} with kinds of ten requests a second. */
public final class RateLimiterTest {
    private static final ServiceId SERVICE = new ServiceId("himal", "desk");

    private final RateLimiter mLimiter = new RateLimiter(2);

    @Test
    public void rateIsLimitedPerCustomer() {
        int passed = 0;
        for (long now = 0; now < 10_000; now += 10) {
            passed += passes("a", now) ? 1 : 0;
        }
        assertTrue(passed >= 105 && passed <= 110, "passed in ten seconds: " + passed);
        assertTrue(passes("b", 10_000));
    }

    @Test
    public void refusalReturnsTheWaitForAToken() {
        RateLimiter limiter = new RateLimiter(2);
        for (int count = 0; count < 10; count++) {
            assertTrue(limiter.tryAcquire("a", SERVICE, Kinds.LOOKUP, 0).isEmpty());
        }
        assertEquals(limiter.tryAcquire("a", SERVICE, Kinds.LOOKUP, 0).orElseThrow(), 100);
        assertTrue(limiter.tryAcquire("a", SERVICE, Kinds.LOOKUP, 99).isPresent());
        assertTrue(limiter.tryAcquire("a", SERVICE, Kinds.LOOKUP, 100).isEmpty());
    }

    // A customer must not reset its empty bucket by filling the table with other keys.
    @Test
    public void emptyBucketIsNotEvicted() {
        RateLimiter limiter = new RateLimiter(1);
        limiter.tryAcquire("a", SERVICE, Kinds.LOOKUP, 0);
        assertTrue(limiter.tryAcquire("b", SERVICE, Kinds.LOOKUP, 0).isPresent());
        assertTrue(limiter.tryAcquire("b", SERVICE, Kinds.LOOKUP, 1_000).isEmpty());
        assertEquals(limiter.size(), 1);
    }

    private boolean passes(String customer, long now) {
        return mLimiter.tryAcquire(customer, SERVICE, Kinds.LOOKUP, now).isEmpty();
    }
}
