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
 * Decides for one service on one VM which targets get work, and says why.
 *
 * <p>Real work decides, pooled over the VMs of the cell. Probes count only where no work went well;
 * the targets' own reports never clear or condemn one that works.
 *
 * <p>Not thread-safe: the VM's control thread owns it. {@link #view} is for all threads.
 */
public final class TargetHealth {
    /** A VM that was silent for longer doesn't count as reporting. */
    private static final long REPORTING_MILLIS = 10_000;

    /** Between ticks, evidence is neither weighed nor told more often than this. */
    private static final long SHORTEST_PAUSE_MILLIS = 10;

    /** The mean age of good work when a regular report tells of it. */
    private static final long REPORT_AGE_MILLIS = 150;

    private final VmIdentity mObserver;
    private final String mZone;
    private final UnreportedEvidence mOwnWork = new UnreportedEvidence();
    private final EvidenceTable mTable = new EvidenceTable();
    private final EjectionController mLifecycle;
    private final Map<VmIdentity, Long> mSequences = new HashMap<>();
    private final Map<String, Long> mZoneHeardMillis = new TreeMap<>();
    private ServiceTemplate mTemplate;
    private final FailureTrigger mScreen = new FailureTrigger();
    private long mSequence;
    private boolean mUrgent;
    private long mWeighedMillis = Long.MIN_VALUE / 2;
    private long mUrgentReportMillis = Long.MIN_VALUE / 2;
    private volatile ServiceView mView;

    /**
     * Creates the decisions of one VM on one service; all targets are taken for well at first.
     *
     * @param observer this VM
     * @param availabilityZone this VM's availability zone
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
            FloorPolicy floorRule,
            long nowMillis) {
        mObserver = observer;
        mZone = availabilityZone;
        mTemplate = template;
        mLifecycle = new EjectionController(template, floorRule, mTable, nowMillis);
        mZoneHeardMillis.put(mZone, nowMillis);
        publish(nowMillis);
    }

    /** Returns the newest snapshot; any thread may call this. */
    public ServiceView view() {
        return mView;
    }

    /** Returns what was done since the last call, oldest first, and forgets it. */
    public List<Explanation> takeExplanations() {
        return mLifecycle.takeExplanations();
    }

    /**
     * Takes in an accepted revision: targets that it adds start slowly, those it drops are gone.
     */
    public void update(ServiceTemplate template, long nowMillis) {
        mTemplate = template;
        mLifecycle.update(template, nowMillis);
        mTable.retain(mLifecycle.targets());
        publish(nowMillis);
    }

    /**
     * Takes in the end of a piece of this VM's work.
     *
     * @param kind the request kind's name
     * @param latencyMillis from sending to the whole answer
     */
    public void onOutcome(
            Endpoint target, String kind, Outcome outcome, long latencyMillis, long nowMillis) {
        TargetRecord record = mLifecycle.record(target);
        if (record == null || !(outcome.isSuccess() || outcome.isFailure())) {
            return;
        }
        addOwn(
                record,
                UnreportedEvidence.evidence(target, kind, outcome, latencyMillis),
                nowMillis);
        weighIfUrgent(nowMillis);
    }

    /** Takes in what another VM of the cell saw. */
    public void onPeerEvidence(EvidenceReport report, long nowMillis) {
        long last = mSequences.getOrDefault(report.observer(), Long.MIN_VALUE);
        // A datagram may arrive twice; counted twice, one failure would look like two.
        if (report.sequence() <= last || report.observer().equals(mObserver)) {
            return;
        }
        mSequences.put(report.observer(), report.sequence());
        mZoneHeardMillis.put(report.availabilityZone(), nowMillis);
        for (TargetEvidence evidence : report.evidence()) {
            TargetRecord record = mLifecycle.record(evidence.target());
            if (record != null) {
                addOfPeer(record, report.availabilityZone(), evidence, nowMillis);
                weighIfUrgent(nowMillis);
            }
        }
    }

    /** Takes in what a target says of itself. */
    public void onHealthReport(Endpoint target, HealthReport report, long nowMillis) {
        TargetRecord record = mLifecycle.record(target);
        if (record == null) {
            return;
        }
        if (report.rejectsNewRequests()) {
            onLeaving(target, "it says that it stops", nowMillis);
            return;
        }
        switch (report) {
            case COLD -> onCold(record, nowMillis);
            case SERVING -> onServing(record, nowMillis);
            default -> onProbe(target, false, nowMillis);
        }
    }

    /**
     * Takes in a sign from any source that a target stops; it gets nothing new from now on.
     *
     * @param cause which sign it was, in a short clause
     */
    public void onLeaving(Endpoint target, String cause, long nowMillis) {
        TargetRecord record = mLifecycle.record(target);
        if (record != null && record.markLeaving(nowMillis)) {
            mLifecycle.recordExplanation(nowMillis, Action.LEAVING, record, cause, "", "");
            publish(nowMillis);
        }
    }

    /** Takes in the load, 0 to 1, that a target reports; it is passed on in the view as a hint. */
    public void onLoadReport(Endpoint target, double load) {
        TargetRecord record = mLifecycle.record(target);
        if (record != null) {
            record.setReportedLoad(load);
        }
    }

    /** Takes in the end of a probe that this VM sent. */
    public void onProbe(Endpoint target, boolean answered, long nowMillis) {
        TargetRecord record = mLifecycle.record(target);
        if (record == null) {
            return;
        }
        if (!answered) {
            record.recordFailedProbe(nowMillis);
        }
        Outcome outcome = answered ? Outcome.SUCCESS : Outcome.FAILURE;
        addOwn(
                record,
                UnreportedEvidence.evidence(target, EvidenceTable.PROBE_KIND, outcome, 1),
                nowMillis);
    }

    /** Returns what this VM saw since the last call, for the other VMs of the cell. */
    public EvidenceReport takeReport(long nowMillis) {
        return report(mOwnWork.take());
    }

    /**
     * Returns what this VM saw of the targets that failed something, if it should be told at once.
     *
     * <p>Called after each failure. It is the cell's speed: without it, failures wait for the next
     * regular report. At most one in 10 milliseconds is made.
     */
    public Optional<EvidenceReport> takeUrgentReport(long nowMillis) {
        if (nowMillis - mUrgentReportMillis < SHORTEST_PAUSE_MILLIS) {
            return Optional.empty();
        }
        List<TargetEvidence> failing = mOwnWork.takeWithFailures();
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
     * Weighs the evidence and decides; called every 250 milliseconds.
     *
     * <p>Between ticks the evidence is weighed when a target seems to begin to fail.
     */
    public void onTick(long nowMillis) {
        weigh(nowMillis);
    }

    private void weighIfUrgent(long nowMillis) {
        if (mUrgent && nowMillis - mWeighedMillis >= SHORTEST_PAUSE_MILLIS) {
            weigh(nowMillis);
        }
    }

    private void weigh(long nowMillis) {
        mUrgent = false;
        mWeighedMillis = nowMillis;
        // First, as it drops old evidence: weighed once more, that would eject what just returned.
        mLifecycle.restoreDueTargets(nowMillis);
        OutlierDetector detector =
                new OutlierDetector(
                        mTemplate.detection(),
                        mTable,
                        new TreeSet<>(mZoneHeardMillis.keySet()),
                        othersReport(nowMillis),
                        List.copyOf(mLifecycle.targets()),
                        mLifecycle.activeTargets(),
                        nowMillis);
        Map<Endpoint, TargetAssessment> verdicts = new TreeMap<>();
        mLifecycle.targets().forEach(target -> verdicts.put(target, detector.assess(target)));
        mLifecycle.decide(verdicts, nowMillis);
        mScreen.setBaseline(recentWork(verdicts));
        publish(nowMillis);
    }

    private static Counts recentWork(Map<Endpoint, TargetAssessment> verdicts) {
        Counts recent = new Counts();
        verdicts.values().forEach(verdict -> recent.add(verdict.work()));
        return recent;
    }

    private void addOwn(TargetRecord record, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        mOwnWork.add(evidence, nowMillis);
        mTable.add(EvidenceTable.LOCAL_VM, evidence, nowMillis);
        mTable.add(mZone, evidence, nowMillis);
        note(record, evidence, true, nowMillis);
    }

    private void addOfPeer(
            TargetRecord record, String zone, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        // Failures are told at once, good work later: taken for as new, it would outweigh them.
        long seenMillis = evidence.failures() > 0 ? nowMillis : nowMillis - REPORT_AGE_MILLIS;
        mTable.add(zone, evidence, seenMillis);
        note(record, evidence, false, nowMillis);
    }

    private void note(TargetRecord record, TargetEvidence evidence, boolean own, long nowMillis) {
        if (!evidence.kind().equals(EvidenceTable.PROBE_KIND)) {
            record.recordSuccesses(evidence.successes(), nowMillis);
            mUrgent |= mScreen.add(evidence, own) && record.state().receivesRequests();
        }
    }

    private void onCold(TargetRecord record, long nowMillis) {
        if (record.isHeld() || !record.canBecomeCold(nowMillis)) {
            return;
        }
        record.becomeCold(nowMillis);
        mLifecycle.recordExplanation(
                nowMillis, Action.COLD, record, "it says that it is starting", "", "");
        publish(nowMillis);
    }

    private void onServing(TargetRecord record, long nowMillis) {
        if (record.state() == TargetState.COLD || record.canReturnFromLeaving(nowMillis)) {
            mLifecycle.beginSlowStart(record, "it says that it serves", nowMillis);
            publish(nowMillis);
        }
    }

    private boolean othersReport(long nowMillis) {
        return mZoneHeardMillis.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(mZone)
                                        && nowMillis - entry.getValue() <= REPORTING_MILLIS);
    }

    private void publish(long nowMillis) {
        mView = ServiceView.of(mTemplate.id(), nowMillis, mLifecycle.statuses(nowMillis));
    }
}
