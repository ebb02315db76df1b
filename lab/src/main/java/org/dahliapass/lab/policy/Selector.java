package org.dahliapass.lab.policy;

import java.util.Optional;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;

/** What one VM decides about the targets of a service; the contenders differ in it. */
interface Selector {
    /** Returns the target's share of work against a healthy one; 0 for nothing new. */
    double weight(int target);

    /** Returns whether the target may get work that must run at most once. */
    default boolean acceptsAtMostOnce(int target) {
        return weight(target) > 0;
    }

    /** Returns whether targets are taken in turn, rather than the least busy first. */
    default boolean isRoundRobin() {
        return false;
    }

    void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis);

    /** Takes in a probe's end; the health report is that of the answer, if there was one. */
    void onProbe(int target, boolean answered, HealthReport report, long nowMillis);

    /** Returns how often each target is probed. */
    long probeIntervalMillis();

    void onTick(long nowMillis);

    /** Returns what the other VMs of the cell are told. */
    EvidenceReport drainReport(long nowMillis);

    /** Returns what the other VMs are told at once after a failure, if anything. */
    default Optional<EvidenceReport> drainUrgentReport(long nowMillis) {
        return Optional.empty();
    }

    void onPeerEvidence(EvidenceReport report, long nowMillis);
}
