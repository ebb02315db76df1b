package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * What the newest work at one service's targets shows, by this VM's own and by that of the others.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table.
 */
public final class WorkEvidence {
    private final ServiceTimes mTimes;
    private final SlotTable mSlots;
    private final TrustTable mTrust = new TrustTable();
    private final HangRisk mRisk = new HangRisk();
    private final Map<Endpoint, Long> mUntoldProofs = new HashMap<>();
    private Set<Endpoint> mToldInFlight = Set.of();

    /**
     * Starts without evidence.
     *
     * @param times what is an unusual time for an answer
     * @param slots what is in flight
     */
    public WorkEvidence(ServiceTimes times, SlotTable slots) {
        mTimes = times;
        mSlots = slots;
    }

    /** Returns which targets' newest work failed. */
    public TrustTable trust() {
        return mTrust;
    }

    /** Returns which targets may have begun to hang. */
    public HangRisk risk() {
        return mRisk;
    }

    /**
     * Takes the start of a piece of work.
     *
     * @param work identifies it
     */
    public void onStarted(RequestKind kind, Endpoint target, Object work, long nowMillis) {
        mTrust.onStarted(target, work, nowMillis + mTimes.unusualMillis(kind), nowMillis);
    }

    /**
     * Takes the end of a piece of work.
     *
     * @param work identifies it
     * @param startedMillis when it was sent, in milliseconds
     */
    public void onEnded(
            RequestKind kind,
            Endpoint target,
            Object work,
            long startedMillis,
            Outcome outcome,
            long nowMillis) {
        mTrust.onEnded(target, work);
        switch (outcome) {
            case SUCCESS -> {
                mTrust.onAnswered(target, nowMillis);
                mRisk.onProof(target, startedMillis);
                mUntoldProofs.merge(target, startedMillis, Math::max);
            }
            case FAILURE -> mTrust.onSetback(target, Setback.ERROR, nowMillis);
            case REFUSED_SHED -> mTrust.onSetback(target, Setback.FULL, nowMillis);
            case CANCELLED -> {
                if (nowMillis - startedMillis >= mTimes.unusualMillis(kind)) {
                    mTrust.onSetback(target, Setback.LATE, nowMillis);
                }
            }
            default -> mTrust.onSetback(target, Setback.FAILED, nowMillis);
        }
    }

    /** Forgets the targets that aren't among these. */
    public void retain(Set<Endpoint> targets) {
        mTrust.retain(targets);
        mRisk.retain(targets);
        mUntoldProofs.keySet().retainAll(targets);
    }

    /**
     * Takes another VM's report, which lists all targets where it has work in flight.
     *
     * @param vm the VM's name
     */
    public void onPeerReport(String vm, List<TargetWork> report, long nowMillis) {
        for (TargetWork work : report) {
            mRisk.onPeer(vm, work, nowMillis);
        }
    }

    /** Returns what is new for the other VMs since the last report; empty if nothing is. */
    public List<TargetWork> takeReport(long nowMillis) {
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        mSlots.ownReport().forEach(use -> inFlight.put(use.target(), use.inFlight()));
        Set<Endpoint> told = new HashSet<>(mToldInFlight);
        told.addAll(inFlight.keySet());
        told.addAll(mUntoldProofs.keySet());
        List<TargetWork> report = new ArrayList<>();
        for (Endpoint target : told) {
            Long proven = mUntoldProofs.get(target);
            report.add(
                    new TargetWork(
                            target,
                            inFlight.getOrDefault(target, 0),
                            mTrust.silence(target, nowMillis),
                            proven == null ? OptionalLong.empty() : OptionalLong.of(proven)));
        }
        mToldInFlight = Set.copyOf(inFlight.keySet());
        mUntoldProofs.clear();
        return report;
    }
}
