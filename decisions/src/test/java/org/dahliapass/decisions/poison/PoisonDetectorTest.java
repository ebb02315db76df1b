package org.dahliapass.decisions.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link PoisonDetector}. */
public final class PoisonDetectorTest {
    private static final long NOW = 1_000_000;
    private static final int SEEDS = 200;
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);

    private final PoisonDetector mRegister = new PoisonDetector();

    /** Guards against a request that takes a service down target by target. */
    @Test
    public void endsInTurnQuarantine() {
        PoisonDetector register = new PoisonDetector();
        register.onCrash(DIGEST, end(1, 0, 100), NOW);
        register.onCrash(DIGEST, end(2, 101, 200), NOW);
        assertEquals(register.treatment(DIGEST, NOW), Treatment.ALONE);
        register.onCrash(DIGEST, end(3, 205, 300), NOW);
        assertEquals(register.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** Guards against a read that many send alike, blamed for the rack that it ran on. */
    @Test
    public void targetsThatEndAtOnceDoNotQuarantine() {
        PoisonDetector register = new PoisonDetector();
        for (int target = 0; target < 20; target++) {
            register.onCrash(DIGEST, end(target, 25L * target, 500 + target / 4), NOW);
        }
        assertEquals(register.treatment(DIGEST, NOW), Treatment.ALONE);
    }

    /** Guards against copies at several VMs, which end many targets in few turns. */
    @Test
    public void copiesThatEndTheirTargetsTwiceQuarantine() {
        PoisonDetector register = new PoisonDetector();
        register.onCrash(DIGEST, end(1, 0, 100), NOW);
        register.onCrash(DIGEST, end(2, 10, 110), NOW);
        register.onCrash(DIGEST, end(3, 150, 250), NOW);
        assertEquals(register.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** Guards against a request that stays blamed for ends beside which it was answered. */
    @Test
    public void answerClearsAndLateNewsOfEndsBeforeItChangeNothing() {
        PoisonDetector register = quarantined();
        assertTrue(register.onAnswered(DIGEST, NOW));
        assertEquals(register.treatment(DIGEST, NOW), Treatment.USUAL);
        register.onCrash(DIGEST, end(4, 400, 500), NOW);
        register.onQuarantined(DIGEST, NOW);
        assertEquals(register.treatment(DIGEST, NOW), Treatment.USUAL);
        register.onCrash(DIGEST, end(5, NOW + 10, NOW + 20), NOW + 20);
        assertEquals(register.treatment(DIGEST, NOW + 20), Treatment.ALONE);
    }

    /** Guards against VMs that disagree for good, as datagrams get lost or come twice. */
    @Test
    public void newsGiveTheSameInAnyOrder() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<TargetCrash> ends = new ArrayList<>();
            int count = 1 + random.nextInt(6);
            for (int target = 0; target < count; target++) {
                long sent = random.nextInt(400);
                ends.add(end(target, sent, sent + 20 + random.nextInt(300)));
            }
            PoisonDetector one = told(ends);
            List<TargetCrash> again = new ArrayList<>(ends);
            again.addAll(ends);
            Collections.shuffle(again, random);
            assertEquals(
                    told(again).treatment(DIGEST, NOW), one.treatment(DIGEST, NOW), "seed " + seed);
        }
    }

    private static PoisonDetector told(List<TargetCrash> ends) {
        PoisonDetector register = new PoisonDetector();
        ends.forEach(
                end ->
                        register.onPeerReport(
                                new SuspectReport(DIGEST, List.of(end), false, false), NOW));
        return register;
    }

    /** Guards against a VM that lost all news and is never told what the others know. */
    @Test
    public void vmThatLacksAQuarantineIsFound() {
        PoisonDetector register = quarantined();
        List<TargetCrash> one = List.of(end(9, 0, 100));
        assertTrue(register.onPeerReport(new SuspectReport(DIGEST, one, false, false), NOW));
        assertFalse(register.onPeerReport(new SuspectReport(DIGEST, one, true, false), NOW));
        PoisonDetector other = new PoisonDetector();
        assertFalse(other.onPeerReport(register.report(DIGEST, NOW), NOW));
        assertEquals(other.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** Guards against an attacker who fills the memory, or pushes out what is proved. */
    @Test
    public void suspectsAreBoundedAndPushOutNoQuarantine() {
        PoisonDetector register = quarantined();
        for (int number = 0; number < 50_000; number++) {
            register.onCrash(new RequestDigest(7, number), end(number, 0, 100), NOW);
        }
        assertTrue(register.size() <= 2_000, register.size() + " are kept.");
        assertEquals(register.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** Guards against a request that stays refused for good, though targets are mended since. */
    @Test
    public void quarantineEnds() {
        PoisonDetector register = quarantined();
        long left = register.quarantineRemainingMillis(DIGEST, NOW);
        assertEquals(left, PoisonDetector.RETENTION.toMillis());
        assertEquals(register.treatment(DIGEST, NOW + left), Treatment.QUARANTINED);
        assertEquals(register.treatment(DIGEST, NOW + left + 1), Treatment.USUAL);
        assertTrue(register.isEmpty());
    }

    @Test
    public void unknownRequestIsUsual() {
        assertTrue(mRegister.isEmpty());
        assertEquals(mRegister.treatment(DIGEST, NOW), Treatment.USUAL);
        assertFalse(mRegister.onAnswered(DIGEST, NOW));
    }

    private static PoisonDetector quarantined() {
        PoisonDetector register = new PoisonDetector();
        register.onCrash(DIGEST, end(1, 0, 100), NOW);
        register.onCrash(DIGEST, end(2, 101, 200), NOW);
        register.onCrash(DIGEST, end(3, 205, 300), NOW);
        return register;
    }

    private static TargetCrash end(int target, long sentMillis, long endedMillis) {
        return new TargetCrash("i-" + target + "@1", sentMillis, endedMillis);
    }
}
