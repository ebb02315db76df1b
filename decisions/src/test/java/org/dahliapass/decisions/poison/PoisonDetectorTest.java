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

    private final PoisonDetector mDetector = new PoisonDetector();

    /** A poison message must not crash the targets of a service one after the other. */
    @Test
    public void sequentialCrashesQuarantineTheRequest() {
        PoisonDetector detector = new PoisonDetector();
        detector.onCrash(DIGEST, crash(1, 0, 100), NOW);
        detector.onCrash(DIGEST, crash(2, 101, 200), NOW);
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.ALONE);
        detector.onCrash(DIGEST, crash(3, 205, 300), NOW);
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** A read that many callers send must not be blamed for the loss of a rack. */
    @Test
    public void concurrentCrashesDoNotQuarantineTheRequest() {
        PoisonDetector detector = new PoisonDetector();
        for (int target = 0; target < 20; target++) {
            detector.onCrash(DIGEST, crash(target, 25L * target, 500 + target / 4), NOW);
        }
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.ALONE);
    }

    /** Copies at several VMs crash many targets in few rounds. */
    @Test
    public void twoRoundsOfCrashesByCopiesQuarantineTheRequest() {
        PoisonDetector detector = new PoisonDetector();
        detector.onCrash(DIGEST, crash(1, 0, 100), NOW);
        detector.onCrash(DIGEST, crash(2, 10, 110), NOW);
        detector.onCrash(DIGEST, crash(3, 150, 250), NOW);
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** Copies sent before the first crash must not hide the crashes that follow in turn. */
    @Test
    public void manyConcurrentCrashesDoNotHideSequentialOnes() {
        PoisonDetector detector = new PoisonDetector();
        for (int target = 0; target < 20; target++) {
            detector.onCrash(DIGEST, crash(target, 10L * target, 900 + 10L * target), NOW);
        }
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.ALONE);
        detector.onCrash(DIGEST, crash(20, 1_200, 2_100), NOW);
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.QUARANTINED);
        assertTrue(detector.report(DIGEST, NOW).crashes().size() <= 8);
    }

    @Test
    public void responseClearsDespiteLateReportsOfEarlierCrashes() {
        PoisonDetector detector = quarantined();
        assertTrue(detector.onAnswered(DIGEST, NOW));
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.USUAL);
        detector.onCrash(DIGEST, crash(4, 400, 500), NOW);
        detector.onQuarantined(DIGEST, NOW);
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.USUAL);
        detector.onCrash(DIGEST, crash(5, NOW + 10, NOW + 20), NOW + 20);
        assertEquals(detector.treatment(DIGEST, NOW + 20), Treatment.ALONE);
    }

    /** Datagrams may be lost or duplicated, and all VMs must reach the same state. */
    @Test
    public void reportsMergeInAnyOrder() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<TargetCrash> crashes = new ArrayList<>();
            int count = 1 + random.nextInt(20);
            for (int target = 0; target < count; target++) {
                long sent = random.nextInt(400);
                crashes.add(crash(target, sent, sent + 20 + random.nextInt(300)));
            }
            PoisonDetector expected = detectorWith(crashes);
            List<TargetCrash> duplicated = new ArrayList<>(crashes);
            duplicated.addAll(crashes);
            Collections.shuffle(duplicated, random);
            assertEquals(
                    detectorWith(duplicated).treatment(DIGEST, NOW),
                    expected.treatment(DIGEST, NOW),
                    "seed " + seed);
        }
    }

    private static PoisonDetector detectorWith(List<TargetCrash> crashes) {
        PoisonDetector detector = new PoisonDetector();
        crashes.forEach(
                crash ->
                        detector.onPeerReport(
                                new SuspectReport(DIGEST, List.of(crash), false, false), NOW));
        return detector;
    }

    /** A VM that lost all reports must be told of the quarantine. */
    @Test
    public void detectsAVmWithoutTheQuarantine() {
        PoisonDetector detector = quarantined();
        List<TargetCrash> crash = List.of(crash(9, 0, 100));
        assertTrue(detector.onPeerReport(new SuspectReport(DIGEST, crash, false, false), NOW));
        assertFalse(detector.onPeerReport(new SuspectReport(DIGEST, crash, true, false), NOW));
        PoisonDetector other = new PoisonDetector();
        assertFalse(other.onPeerReport(detector.report(DIGEST, NOW), NOW));
        assertEquals(other.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** New suspects must not exhaust the memory or evict quarantined requests. */
    @Test
    public void suspectsAreLimitedAndEvictNoQuarantine() {
        PoisonDetector detector = quarantined();
        for (int number = 0; number < 50_000; number++) {
            detector.onCrash(new RequestDigest(7, number), crash(number, 0, 100), NOW);
        }
        assertTrue(detector.size() <= 2_000, detector.size() + " are kept.");
        assertEquals(detector.treatment(DIGEST, NOW), Treatment.QUARANTINED);
    }

    /** A request must not stay refused after its targets have been repaired. */
    @Test
    public void quarantineExpires() {
        PoisonDetector detector = quarantined();
        long remainingMillis = detector.quarantineRemainingMillis(DIGEST, NOW);
        assertEquals(remainingMillis, PoisonDetector.RETENTION.toMillis());
        assertEquals(detector.treatment(DIGEST, NOW + remainingMillis), Treatment.QUARANTINED);
        assertEquals(detector.treatment(DIGEST, NOW + remainingMillis + 1), Treatment.USUAL);
        assertTrue(detector.isEmpty());
    }

    @Test
    public void unknownRequestIsNotSuspected() {
        assertTrue(mDetector.isEmpty());
        assertEquals(mDetector.treatment(DIGEST, NOW), Treatment.USUAL);
        assertFalse(mDetector.onAnswered(DIGEST, NOW));
    }

    private static PoisonDetector quarantined() {
        PoisonDetector detector = new PoisonDetector();
        detector.onCrash(DIGEST, crash(1, 0, 100), NOW);
        detector.onCrash(DIGEST, crash(2, 101, 200), NOW);
        detector.onCrash(DIGEST, crash(3, 205, 300), NOW);
        return detector;
    }

    private static TargetCrash crash(int target, long sentMillis, long crashedMillis) {
        return new TargetCrash("i-" + target + "@1", sentMillis, crashedMillis);
    }
}
