package org.dahliapass.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.acceptance.AcceptanceCounts;
import org.dahliapass.decisions.acceptance.AcceptanceModel;
import org.dahliapass.decisions.limits.LimitChange;
import org.dahliapass.decisions.limits.LimitReport;
import org.dahliapass.decisions.limits.TargetLimits;
import org.dahliapass.decisions.traffic.LoadBalancer;
import org.dahliapass.decisions.traffic.PassiveFailureDetector;
import org.dahliapass.decisions.traffic.SlotTable;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.decisions.traffic.TrafficPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/**
 * Creates and applies the reports on targets that VMs exchange. Not thread-safe; guarded by the
 * service's lock.
 */
final class TargetReports {
    private final PassiveFailureDetector mFailureDetector;
    private final TargetLimits mLimits;
    private final AcceptanceModel mAcceptance;
    private final LoadBalancer mBalancer;
    private final SlotTable mSlots;
    private final TrafficPolicy mPolicy;

    TargetReports(
            PassiveFailureDetector failureDetector,
            TargetLimits limits,
            AcceptanceModel acceptance,
            LoadBalancer balancer,
            SlotTable slots,
            TrafficPolicy policy) {
        mFailureDetector = failureDetector;
        mLimits = limits;
        mAcceptance = acceptance;
        mBalancer = balancer;
        mSlots = slots;
        mPolicy = policy;
    }

    /** Returns the changes since the last call; empty if there are none. */
    List<TargetReport> drain(long nowMillis) {
        Map<Endpoint, LimitReport> limits = mLimits.drainReports(nowMillis);
        Map<Endpoint, AcceptanceCounts> counts = new HashMap<>(mAcceptance.drainReports(nowMillis));
        List<TargetReport> reports = new ArrayList<>();
        for (TargetReport report : mFailureDetector.drainReport(nowMillis)) {
            int inFlight = report.inFlight() - mBalancer.recoveredSlots(report.target(), nowMillis);
            reports.add(withStatements(report.withInFlight(Math.max(0, inFlight)), limits, counts));
        }
        Set<Endpoint> others = new HashSet<>(limits.keySet());
        others.addAll(counts.keySet());
        for (Endpoint target : others) {
            TargetReport report =
                    new TargetReport(target, 0, TargetReport.NO_SILENCE, OptionalLong.empty());
            reports.add(withStatements(report, limits, counts));
        }
        return reports;
    }

    /** Moves what else is known of a target into its report. */
    private static TargetReport withStatements(
            TargetReport report,
            Map<Endpoint, LimitReport> limits,
            Map<Endpoint, AcceptanceCounts> counts) {
        AcceptanceCounts acceptance = counts.remove(report.target());
        return report.withLimit(Optional.ofNullable(limits.remove(report.target())))
                .withAcceptance(acceptance == null ? AcceptanceCounts.NONE : acceptance);
    }

    /**
     * Applies another VM's report.
     *
     * @return the limits of targets that it changes
     */
    Map<Endpoint, LimitChange> apply(VmIdentity vm, List<TargetReport> report, long nowMillis) {
        Map<Endpoint, LimitChange> changes = new HashMap<>();
        for (TargetReport target : report) {
            target.limit()
                    .flatMap(limit -> mLimits.onPeerReport(target.target(), limit, nowMillis))
                    .ifPresent(change -> changes.put(target.target(), change));
        }
        mFailureDetector.onPeerReport(vm.name(), report, nowMillis);
        if (mPolicy.learnsAcceptance()) {
            report.forEach(
                    target ->
                            mAcceptance.onPeerReport(
                                    target.target(), target.acceptance(), nowMillis));
        }
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        report.forEach(work -> inFlight.put(work.target(), work.inFlight()));
        mSlots.onPeerReport(vm, inFlight, nowMillis);
        return changes;
    }
}
