package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Action;
import org.dahliapass.model.explain.Explanation;

/**
 * Tracks the health of one service's targets on one VM and decides which targets receive requests.
 *
 * <p>Decisions are based on the request outcomes of all VMs of the cell. Probes count only if no
 * request succeeded. The targets' own health reports never override request outcomes.
 *
 * <p>Not thread-safe; confined to the VM's control thread, except for {@link #view}.
 */
public final class TargetHealth {
    /** The maximum time between two reports of a VM that counts as reporting. */
    private static final long REPORTING_TIMEOUT_MILLIS = 10_000;

    /** The minimum time between two early evaluations or two urgent reports. */
    private static final long MIN_URGENT_INTERVAL_MILLIS = 10;

    /** The mean age of the successes in a periodic report. */
    private static final long MEAN_REPORT_AGE_MILLIS = 150;

    private final VmIdentity mObserver;
    private final String mZone;
    private final UnreportedEvidence mUnreported = new UnreportedEvidence();
    private final EvidenceTable mTable = new EvidenceTable();
    private final EjectionController mController;
    private final Map<VmIdentity, Long> mLastSequences = new HashMap<>();
    private final Map<String, Long> mZoneReportMillis = new TreeMap<>();
    private ServiceTemplate mTemplate;
    private final FailureTrigger mTrigger = new FailureTrigger();
    private long mSequence;
    private boolean mUrgent;
    private long mEvaluatedMillis = Long.MIN_VALUE / 2;
    private long mUrgentReportMillis = Long.MIN_VALUE / 2;
    private volatile ServiceView mView;

    /**
     * Creates a tracker with all targets of the template active.
     *
     * @param observer this VM
     * @param availabilityZone this VM's availability zone
     * @param template the service's template
     * @param nowMillis the current time, in milliseconds
     */
    public TargetHealth(
            VmIdentity observer,
            String availabilityZone,
            ServiceTemplate template,
            long nowMillis) {
        this(observer, availabilityZone, template, FloorPolicy.ENFORCED, nowMillis);
    }

    TargetHealth(
            VmIdentity observer,
            String availabilityZone,
            ServiceTemplate template,
            FloorPolicy floorPolicy,
            long nowMillis) {
        mObserver = observer;
        mZone = availabilityZone;
        mTemplate = template;
        mController = new EjectionController(template, floorPolicy, mTable, nowMillis);
        mZoneReportMillis.put(mZone, nowMillis);
        publish(nowMillis);
    }

    /** Returns the latest snapshot; safe to call from any thread. */
    public ServiceView view() {
        return mView;
    }

    /** Returns and clears the explanations of all actions since the last call, oldest first. */
    public List<Explanation> takeExplanations() {
        return mController.takeExplanations();
    }

    /** Applies a template revision: adds new targets in slow start and removes unlisted targets. */
    public void update(ServiceTemplate template, long nowMillis) {
        mTemplate = template;
        mController.update(template, nowMillis);
        mTable.retain(mController.targets());
        publish(nowMillis);
    }

    /**
     * Records the outcome of a request that this VM sent.
     *
     * @param target the target that the request was sent to
     * @param kind the request kind's name
     * @param outcome the outcome of the request
     * @param latencyMillis the time from sending the request to its outcome, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void onOutcome(
            Endpoint target, String kind, Outcome outcome, long latencyMillis, long nowMillis) {
        TargetRecord record = mController.record(target);
        if (record == null || !(outcome.isSuccess() || outcome.isFailure())) {
            return;
        }
        addLocal(
                record,
                UnreportedEvidence.evidence(target, kind, outcome, latencyMillis),
                nowMillis);
        evaluateIfUrgent(nowMillis);
    }

    /** Records the report of another VM of the cell; ignores duplicates. */
    public void onPeerEvidence(EvidenceReport report, long nowMillis) {
        long lastSequence = mLastSequences.getOrDefault(report.observer(), Long.MIN_VALUE);
        // Datagrams may be duplicated.
        if (report.sequence() <= lastSequence || report.observer().equals(mObserver)) {
            return;
        }
        mLastSequences.put(report.observer(), report.sequence());
        mZoneReportMillis.put(report.availabilityZone(), nowMillis);
        for (TargetEvidence evidence : report.evidence()) {
            TargetRecord record = mController.record(evidence.target());
            if (record != null) {
                addRemote(record, report.availabilityZone(), evidence, nowMillis);
                evaluateIfUrgent(nowMillis);
            }
        }
    }

    /** Handles the health report of a target. */
    public void onHealthReport(Endpoint target, HealthReport report, long nowMillis) {
        TargetRecord record = mController.record(target);
        if (record == null) {
            return;
        }
        if (report.rejectsNewRequests()) {
            onLeaving(target, "the target reports that it is shutting down", nowMillis);
            return;
        }
        switch (report) {
            case COLD -> onCold(record, nowMillis);
            case SERVING -> onServing(record, nowMillis);
            default -> onProbe(target, false, nowMillis);
        }
    }

    /**
     * Marks a target as leaving, so that it receives no new requests.
     *
     * @param cause how the shutdown was detected, in a short clause
     */
    public void onLeaving(Endpoint target, String cause, long nowMillis) {
        TargetRecord record = mController.record(target);
        if (record != null && record.markLeaving(nowMillis)) {
            mController.recordExplanation(nowMillis, Action.LEAVING, record, cause, "", "");
            publish(nowMillis);
        }
    }

    /** Records the load that a target reports, 0 to 1, as a hint in the view. */
    public void onLoadReport(Endpoint target, double load) {
        TargetRecord record = mController.record(target);
        if (record != null) {
            record.setReportedLoad(load);
        }
    }

    /** Records the outcome of a probe that this VM sent. */
    public void onProbe(Endpoint target, boolean succeeded, long nowMillis) {
        TargetRecord record = mController.record(target);
        if (record == null) {
            return;
        }
        if (!succeeded) {
            record.recordFailedProbe(nowMillis);
        }
        Outcome outcome = succeeded ? Outcome.SUCCESS : Outcome.FAILURE;
        addLocal(
                record,
                UnreportedEvidence.evidence(target, EvidenceTable.PROBE_KIND, outcome, 1),
                nowMillis);
    }

    /** Returns and clears the unreported evidence, for the other VMs of the cell. */
    public EvidenceReport takeReport(long nowMillis) {
        return report(mUnreported.take());
    }

    /**
     * Returns and clears the unreported evidence of all targets with failures.
     *
     * <p>Called after each failure, so that failures do not wait for the next periodic report.
     * Returns empty if there are no failures or the last urgent report is less than 10 milliseconds
     * old.
     */
    public Optional<EvidenceReport> takeUrgentReport(long nowMillis) {
        if (nowMillis - mUrgentReportMillis < MIN_URGENT_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        List<TargetEvidence> failing = mUnreported.takeWithFailures();
        if (failing.isEmpty()) {
            return Optional.empty();
        }
        mUrgentReportMillis = nowMillis;
        return Optional.of(report(failing));
    }

    private EvidenceReport report(List<TargetEvidence> evidence) {
        mSequence++;
        return new EvidenceReport(mObserver, mZone, mSequence, mTemplate.id(), evidence);
    }

    /**
     * Evaluates the evidence and updates the view; called every 250 milliseconds.
     *
     * <p>The evidence is also evaluated between ticks if a target appears to begin to fail.
     */
    public void onTick(long nowMillis) {
        evaluate(nowMillis);
    }

    private void evaluateIfUrgent(long nowMillis) {
        if (mUrgent && nowMillis - mEvaluatedMillis >= MIN_URGENT_INTERVAL_MILLIS) {
            evaluate(nowMillis);
        }
    }

    private void evaluate(long nowMillis) {
        mUrgent = false;
        mEvaluatedMillis = nowMillis;
        // Must come first: it discards evidence that would eject the restored targets again.
        mController.restoreDueTargets(nowMillis);
        OutlierDetector detector =
                new OutlierDetector(
                        mTemplate.detection(),
                        mTable,
                        new TreeSet<>(mZoneReportMillis.keySet()),
                        otherZonesReporting(nowMillis),
                        List.copyOf(mController.targets()),
                        mController.activeTargets(),
                        nowMillis);
        Map<Endpoint, TargetAssessment> assessments = new TreeMap<>();
        mController.targets().forEach(target -> assessments.put(target, detector.assess(target)));
        mController.decide(assessments, nowMillis);
        mTrigger.setBaseline(recentOutcomes(assessments));
        publish(nowMillis);
    }

    private static Counts recentOutcomes(Map<Endpoint, TargetAssessment> assessments) {
        Counts recent = new Counts();
        assessments.values().forEach(assessment -> recent.add(assessment.outcomes()));
        return recent;
    }

    private void addLocal(TargetRecord record, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        mUnreported.add(evidence, nowMillis);
        mTable.add(EvidenceTable.LOCAL_VM, evidence, nowMillis);
        mTable.add(mZone, evidence, nowMillis);
        updateRecord(record, evidence, true, nowMillis);
    }

    private void addRemote(
            TargetRecord record, String zone, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        // Failures are reported at once and successes later, so reports with successes only are
        // backdated.
        long observedMillis =
                evidence.failures() > 0 ? nowMillis : nowMillis - MEAN_REPORT_AGE_MILLIS;
        mTable.add(zone, evidence, observedMillis);
        updateRecord(record, evidence, false, nowMillis);
    }

    private void updateRecord(
            TargetRecord record, TargetEvidence evidence, boolean local, long nowMillis) {
        if (!evidence.kind().equals(EvidenceTable.PROBE_KIND)) {
            record.recordSuccesses(evidence.successes(), nowMillis);
            mUrgent |= mTrigger.add(evidence, local) && record.state().receivesRequests();
        }
    }

    private void onCold(TargetRecord record, long nowMillis) {
        if (record.isHeld() || !record.canBecomeCold(nowMillis)) {
            return;
        }
        record.becomeCold(nowMillis);
        mController.recordExplanation(
                nowMillis, Action.COLD, record, "the target reports a cold start", "", "");
        publish(nowMillis);
    }

    private void onServing(TargetRecord record, long nowMillis) {
        if (record.state() == TargetState.COLD || record.canReturnFromLeaving(nowMillis)) {
            mController.beginSlowStart(record, "the target reports that it is serving", nowMillis);
            publish(nowMillis);
        }
    }

    private boolean otherZonesReporting(long nowMillis) {
        return mZoneReportMillis.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(mZone)
                                        && nowMillis - entry.getValue()
                                                <= REPORTING_TIMEOUT_MILLIS);
    }

    private void publish(long nowMillis) {
        mView = ServiceView.of(mTemplate.id(), nowMillis, mController.statuses(nowMillis));
    }
}
