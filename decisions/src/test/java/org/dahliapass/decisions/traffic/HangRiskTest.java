package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link HangRisk}. */
public final class HangRiskTest {
    private static final double NO_SILENCE = 1;
    private static final double CLOSE = 1e-9;

    private HangRisk mRisk;

    @BeforeMethod
    public void start() {
        mRisk = new HangRisk();
    }

    @Test
    public void targetWithoutProofIsAsRiskyAsAny() {
        assertEquals(chance(NO_SILENCE, 0), 0.3, CLOSE);
    }

    @Test
    public void chanceGrowsWithTheAgeOfTheProof() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        double young = chance(NO_SILENCE, 1_300);
        double old = chance(NO_SILENCE, 4_000);
        assertTrue(young < 0.02, "young: " + young);
        assertTrue(old > young && old < 0.3, "old: " + old);
        assertEquals(chance(NO_SILENCE, 100_000), 0.3, CLOSE);
    }

    @Test
    public void olderProofDoesNotReplaceANewerOne() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        mRisk.onProof(Kinds.endpoint(0), 500);
        assertEquals(mRisk.provenMillis(Kinds.endpoint(0)), OptionalLong.of(1_000));
    }

    @Test
    public void silenceSpeaksAgainstTheTarget() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        assertTrue(chance(11, 1_300) > 5 * chance(NO_SILENCE, 1_300));
    }

    /**
     * Each VM would lose a lock of its own. A target hangs with a request of another VM; that VM
     * reports the silence, and this one stays away before anything of its own is lost.
     */
    @Test
    public void silenceAtAnotherVmCounts() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        double before = chance(NO_SILENCE, 1_300);
        report("vm-2", 1, 11, 1_300);
        assertTrue(chance(NO_SILENCE, 1_300) > 5 * before);
    }

    /** A VM that lost power must not speak against a target for ever. */
    @Test
    public void reportOfAVmThatFellSilentIsForgotten() {
        mRisk.onProof(Kinds.endpoint(0), 3_000);
        report("vm-2", 1, 11, 1_300);
        assertEquals(chance(NO_SILENCE, 3_000), chance(NO_SILENCE, 3_000), CLOSE);
        assertTrue(chance(NO_SILENCE, 3_000) < 0.01);
    }

    @Test
    public void reportWithoutWorkInFlightEndsTheSilence() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        double before = chance(NO_SILENCE, 1_300);
        report("vm-2", 1, 11, 1_300);
        report("vm-2", 0, 1, 1_300);
        assertEquals(chance(NO_SILENCE, 1_300), before, CLOSE);
    }

    @Test
    public void proofOfAnotherVmCounts() {
        mRisk.onPeer(
                "vm-2", new TargetWork(Kinds.endpoint(0), 0, 1, OptionalLong.of(2_000)), 2_100);
        assertEquals(mRisk.provenMillis(Kinds.endpoint(0)), OptionalLong.of(2_000));
    }

    @Test
    public void targetThatLeftIsForgotten() {
        mRisk.onProof(Kinds.endpoint(0), 1_000);
        mRisk.retain(Set.of());
        assertEquals(mRisk.provenMillis(Kinds.endpoint(0)), OptionalLong.empty());
    }

    private void report(String vm, int inFlight, double silence, long now) {
        mRisk.onPeer(
                vm,
                new TargetWork(Kinds.endpoint(0), inFlight, silence, OptionalLong.empty()),
                now);
    }

    private double chance(double silence, long now) {
        return mRisk.chance(Kinds.endpoint(0), silence, now);
    }
}
