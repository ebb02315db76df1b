package org.dahliapass.decisions.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link DigestLocks}. */
public final class DigestLocksTest {
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);

    /** An identical request must not crash a second target while the first one still runs it. */
    @Test
    public void releaseRunsWaiters() {
        DigestLocks locks = new DigestLocks();
        List<String> released = new ArrayList<>();
        locks.acquire(DIGEST);
        assertTrue(locks.isHeld(DIGEST));
        assertTrue(locks.addWaiter(DIGEST, () -> released.add("waiter")));
        assertFalse(locks.isHeld(new RequestDigest(3, 4)));
        locks.release(DIGEST);
        assertEquals(released, List.of("waiter"));
        assertFalse(locks.isHeld(DIGEST));
    }

    /** Copies of a request must not exhaust the memory of a VM. */
    @Test
    public void waitersAreLimited() {
        DigestLocks locks = new DigestLocks();
        locks.acquire(DIGEST);
        int waiters = 0;
        while (locks.addWaiter(DIGEST, () -> {})) {
            waiters++;
            assertTrue(waiters <= 256, "More than 256 wait.");
        }
        locks.release(DIGEST);
        assertTrue(locks.addWaiter(DIGEST, () -> {}));
    }
}
