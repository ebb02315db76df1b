package org.dahliapass.decisions.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link Turns}. */
public final class TurnsTest {
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);

    /** Guards against a copy that ends a second target while the first one still runs. */
    @Test
    public void nextOneGoesWhenTheTurnIsGivenBack() {
        Turns turns = new Turns();
        List<String> gone = new ArrayList<>();
        turns.take(DIGEST);
        assertTrue(turns.isTaken(DIGEST));
        assertTrue(turns.await(DIGEST, () -> gone.add("next")));
        assertFalse(turns.isTaken(new RequestDigest(3, 4)));
        turns.giveBack(DIGEST);
        assertEquals(gone, List.of("next"));
        assertFalse(turns.isTaken(DIGEST));
    }

    /** Guards against an attacker whose copies fill the memory of a VM. */
    @Test
    public void waitersAreBounded() {
        Turns turns = new Turns();
        turns.take(DIGEST);
        int waiting = 0;
        while (turns.await(DIGEST, () -> {})) {
            waiting++;
            assertTrue(waiting <= 256, "More than 256 wait.");
        }
        turns.giveBack(DIGEST);
        assertTrue(turns.await(DIGEST, () -> {}));
    }
}
