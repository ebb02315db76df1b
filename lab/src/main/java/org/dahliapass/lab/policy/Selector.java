package org.dahliapass.lab.policy;

import java.util.Optional;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;

/** One VM's policy for the targets of a service. Not thread-safe. */
interface Selector {
    /** Returns the target's share of load relative to a healthy target; 0 for no new requests. */
    double weight(int target);

    /** Returns whether the target may receive requests that must run at most once. */
    default boolean acceptsAtMostOnce(int target) {
        return weight(target) > 0;
    }

    /** Returns whether targets are selected round robin instead of by load. */
    default boolean isRoundRobin() {
        return false;
    }

    void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis);

    /** Records the result of a probe; the health report applies only if it was answered. */
    void onProbe(int target, boolean answered, HealthReport report, long nowMillis);

    /** Returns the interval between probes of a target, in milliseconds. */
    long probeIntervalMillis();

    void onTick(long nowMillis);

    /** Returns and clears the evidence for the other VMs of the cell. */
    EvidenceReport drainReport(long nowMillis);

    /** Returns evidence to send immediately after a failure, if any. */
    default Optional<EvidenceReport> drainUrgentReport(long nowMillis) {
        return Optional.empty();
    }

    void onPeerEvidence(EvidenceReport report, long nowMillis);
}
