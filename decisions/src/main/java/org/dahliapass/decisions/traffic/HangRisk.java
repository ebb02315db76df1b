package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Estimates the chance that a target has begun to hang since it last proved itself.
 *
 * <p>Answers the load pattern of targets that begin to hang without a sign: whatever was sent there
 * last is lost, and a request that must not repeat is lost for good. The chance grows with the time
 * since the newest proof, and with the silence of what is unanswered. Work that goes where the
 * chance is least leaves a target that falls silent within about one answer's time, without any
 * threshold. Proofs and silence of other VMs count as this VM's own.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(VMs that report).
 */
public final class HangRisk {
    /**
     * How often a sound target begins to hang, in bouts a millisecond: in both deployments 30 of
     * 100 targets at a time fail work for about 9 seconds.
     */
    private static final double BOUTS_PER_MILLI = 0.3 / 9_000;

    /** The share of targets in a bout at any time: what is known of a target without a proof. */
    private static final double LARGEST_PRIOR = 0.3;

    /** Reports come ten times a second; one that is older counts for nothing, in milliseconds. */
    private static final long REPORT_KEPT_MILLIS = 1_000;

    private final Map<Endpoint, TargetRisk> mTargets = new HashMap<>();

    /** What one other VM told of its unanswered work at a target. */
    private record PeerSilence(double silence, long atMillis) {}

    /** What is known of one target. */
    private static final class TargetRisk {
        private final Map<String, PeerSilence> mPeers = new HashMap<>();
        private long mProvenMillis = Long.MIN_VALUE;
    }

    /**
     * Takes a whole answer.
     *
     * @param sentMillis when the work that was answered had been sent: the target was well then
     */
    public void onProof(Endpoint target, long sentMillis) {
        TargetRisk risk = mTargets.computeIfAbsent(target, unused -> new TargetRisk());
        risk.mProvenMillis = Math.max(risk.mProvenMillis, sentMillis);
    }

    /** Takes what another VM reported; replaces its last report on the target. */
    public void onPeer(String vm, TargetWork work, long nowMillis) {
        work.provenMillis().ifPresent(sentMillis -> onProof(work.target(), sentMillis));
        TargetRisk risk = mTargets.computeIfAbsent(work.target(), unused -> new TargetRisk());
        if (work.inFlight() > 0) {
            risk.mPeers.put(vm, new PeerSilence(work.silence(), nowMillis));
        } else {
            risk.mPeers.remove(vm);
        }
    }

    /** Returns when the newest work that the target answered had been sent; empty for never. */
    public OptionalLong provenMillis(Endpoint target) {
        TargetRisk risk = mTargets.get(target);
        return risk == null || risk.mProvenMillis == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(risk.mProvenMillis);
    }

    /**
     * Returns the chance that the target hangs, from 0 to 1.
     *
     * @param ownSilence what this VM's own unanswered work says, as in {@link TargetWork}
     */
    public double chance(Endpoint target, double ownSilence, long nowMillis) {
        TargetRisk risk = mTargets.get(target);
        double prior = prior(risk, nowMillis);
        double odds = prior / (1 - prior) * ownSilence;
        if (risk != null) {
            risk.mPeers.values().removeIf(peer -> nowMillis - peer.atMillis() > REPORT_KEPT_MILLIS);
            for (PeerSilence peer : risk.mPeers.values()) {
                odds *= peer.silence();
            }
        }
        return odds / (1 + odds);
    }

    private static double prior(TargetRisk risk, long nowMillis) {
        if (risk == null || risk.mProvenMillis == Long.MIN_VALUE) {
            return LARGEST_PRIOR;
        }
        long age = Math.max(1, nowMillis - risk.mProvenMillis);
        return Math.min(LARGEST_PRIOR, age * BOUTS_PER_MILLI);
    }

    /** Forgets the targets that aren't among these. */
    public void retain(Set<Endpoint> targets) {
        mTargets.keySet().retainAll(targets);
    }
}
