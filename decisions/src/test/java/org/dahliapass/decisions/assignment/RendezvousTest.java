package org.dahliapass.decisions.assignment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link Rendezvous}. */
public final class RendezvousTest {
    private static final int KEYS = 20_000;

    @Test
    public void shareIsProportionalToWeight() {
        int wins = 0;
        for (int key = 0; key < KEYS; key++) {
            Rendezvous rendezvous = Rendezvous.of("key-" + key);
            wins += rendezvous.score("heavy", 3) > rendezvous.score("light") ? 1 : 0;
        }
        assertEquals((double) wins / KEYS, 0.75, 0.02);
    }

    @Test
    public void scoreIsDeterministic() {
        double score = Rendezvous.of("key").score("vm-1");
        assertTrue(score > 0);
        assertEquals(Rendezvous.of("key").score("vm-1"), score);
    }
}
