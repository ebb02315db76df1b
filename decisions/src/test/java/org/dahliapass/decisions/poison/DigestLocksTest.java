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

    /** Guards against a copy that ends a second target while the first one still runs. */
    @Test
    public void nextOneGoesWhenTheTurnIsGivenBack() {
        DigestLocks turns = new DigestLocks();
        List<String> gone = new ArrayList<>();
        turns.acquire(DIGEST);
        assertTrue(turns.isHeld(DIGEST));
        assertTrue(turns.addWaiter(DIGEST, () -> gone.add("next")));
        assertFalse(turns.isHeld(new RequestDigest(3, 4)));
        turns.release(DIGEST);
        assertEquals(gone, List.of("next"));
        assertFalse(turns.isHeld(DIGEST));
    }

    /** Guards against an attacker whose copies fill the memory of a VM. */
    @Test
    public void waitersAreBounded() {
        DigestLocks turns = new DigestLocks();
        turns.acquire(DIGEST);
        int waiting = 0;
        while (turns.addWaiter(DIGEST, () -> {})) {
            waiting++;
            assertTrue(waiting <= 256, "More than 256 wait.");
        }
        turns.release(DIGEST);
        assertTrue(turns.addWaiter(DIGEST, () -> {}));
    }
}
