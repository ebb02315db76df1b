package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    private final VmIdentity mObserver;
    private final String mZone;
    private final OwnWork mOwnWork = new OwnWork();
    private final EvidenceTable mTable = new EvidenceTable();
    private final Lifecycle mLifecycle;
    private final Map<VmIdentity, Long> mSequences = new HashMap<>();
    private final Map<String, Long> mZoneHeardMillis = new TreeMap<>();
    private ServiceTemplate mTemplate;
    private long mSequence;
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
        this(observer, availabilityZone, template, FloorRule.KEPT, nowMillis);
    }

    TargetHealth(
            VmIdentity observer,
            String availabilityZone,
            ServiceTemplate template,
            FloorRule floorRule,
            long nowMillis) {
        mObserver = observer;
        mZone = availabilityZone;
        mTemplate = template;
        mLifecycle = new Lifecycle(template, floorRule, mTable, nowMillis);
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
        addOwn(record, OwnWork.evidence(target, kind, outcome, latencyMillis), nowMillis);
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
                add(record, report.availabilityZone(), evidence, nowMillis);
            }
        }
    }

    /** Takes in what a target says of itself. */
    public void onHealthReport(Endpoint target, HealthReport report, long nowMillis) {
        TargetRecord record = mLifecycle.record(target);
        if (record == null) {
            return;
        }
        if (report.wantsNothingNew()) {
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
        if (record != null && record.leave(nowMillis)) {
            mLifecycle.explain(nowMillis, Action.LEAVING, record, cause, "", "");
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
            record.noteFailedProbe(nowMillis);
        }
        Outcome outcome = answered ? Outcome.SUCCESS : Outcome.FAILURE;
        addOwn(record, OwnWork.evidence(target, EvidenceTable.PROBE_KIND, outcome, 1), nowMillis);
    }

    /** Returns what this VM saw since the last call, for the other VMs of the cell. */
    public EvidenceReport takeReport(long nowMillis) {
        mSequence++;
        return new EvidenceReport(mObserver, mZone, mSequence, mTemplate.id(), mOwnWork.take());
    }

    /** Weighs the evidence and decides; called every 100 to 250 milliseconds. */
    public void onTick(long nowMillis) {
        // First, as it drops old evidence: weighed once more, that would eject what just returned.
        mLifecycle.bringBack(nowMillis);
        Detector detector =
                new Detector(
                        mTemplate.detection(),
                        mTable,
                        new TreeSet<>(mZoneHeardMillis.keySet()),
                        othersReport(nowMillis),
                        mLifecycle.activeTargets(),
                        nowMillis);
        Map<Endpoint, Verdict> verdicts = new TreeMap<>();
        mLifecycle.targets().forEach(target -> verdicts.put(target, detector.verdict(target)));
        mLifecycle.decide(verdicts, nowMillis);
        publish(nowMillis);
    }

    private void addOwn(TargetRecord record, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        mOwnWork.add(evidence);
        mTable.add(EvidenceTable.OWN, evidence, nowMillis);
        add(record, mZone, evidence, nowMillis);
    }

    private void add(TargetRecord record, String zone, TargetEvidence evidence, long nowMillis) {
        if (record.state() == TargetState.COLD) {
            return;
        }
        mTable.add(zone, evidence, nowMillis);
        if (!evidence.kind().equals(EvidenceTable.PROBE_KIND)) {
            record.noteSuccesses(evidence.successes(), nowMillis);
        }
    }

    private void onCold(TargetRecord record, long nowMillis) {
        if (record.isHeld() || !record.mayBecomeCold(nowMillis)) {
            return;
        }
        record.becomeCold(nowMillis);
        mLifecycle.explain(nowMillis, Action.COLD, record, "it says that it is starting", "", "");
        publish(nowMillis);
    }

    private void onServing(TargetRecord record, long nowMillis) {
        if (record.state() == TargetState.COLD || record.mayComeBackFromLeaving(nowMillis)) {
            mLifecycle.beginReturn(record, "it says that it serves", nowMillis);
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
