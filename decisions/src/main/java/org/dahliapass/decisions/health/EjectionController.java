package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;
import org.dahliapass.model.explain.Action;
import org.dahliapass.model.explain.Explanation;

/**
 * Ejects and restores the targets of one service within the limits of the floor.
 *
 * <p>A target is excluded only if the floor's number of other targets remains active in this VM's
 * set, each with a recent success and without suspicion. VMs exchange evidence but not ejections,
 * so the decisions of other VMs cannot shrink this VM's set, and each VM enforces the floor without
 * coordination.
 */
final class EjectionController {
    /** The maximum age of outcomes that count as recent. */
    private static final long RECENT_MILLIS = 10_000;

    /** The initial exclusion time of a target that fails for this VM only. */
    private static final long AVOIDANCE_MILLIS = 2_000;

    /** The latency ratio from which a straggler's weight is reduced. */
    private static final double MIN_SLOW_RATIO = 1.5;

    private static final double MIN_SPEED_WEIGHT = 0.3;

    private final FloorPolicy mFloorPolicy;
    private final EvidenceTable mTable;
    private final Map<Endpoint, TargetRecord> mRecords = new TreeMap<>();
    private final List<Explanation> mExplanations = new ArrayList<>();
    private ServiceTemplate mTemplate;

    EjectionController(
            ServiceTemplate template,
            FloorPolicy floorPolicy,
            EvidenceTable table,
            long nowMillis) {
        mTemplate = template;
        mFloorPolicy = floorPolicy;
        mTable = table;
        for (Target target : template.targets()) {
            mRecords.put(
                    target.endpoint(), new TargetRecord(target, TargetState.ACTIVE, nowMillis));
        }
    }

    /** Applies a template revision: adds new targets in slow start and removes unlisted targets. */
    void update(ServiceTemplate template, long nowMillis) {
        mTemplate = template;
        Set<Endpoint> listed = new HashSet<>();
        for (Target target : template.targets()) {
            listed.add(target.endpoint());
            mRecords.computeIfAbsent(
                    target.endpoint(),
                    key -> new TargetRecord(target, TargetState.RETURNING, nowMillis));
        }
        mRecords.keySet().removeIf(target -> !listed.contains(target));
    }

    Set<Endpoint> targets() {
        return mRecords.keySet();
    }

    /** Returns the target's record; null if the template does not list the target. */
    TargetRecord record(Endpoint target) {
        return mRecords.get(target);
    }

    /** Returns the active targets, which form the baseline of the detection. */
    Set<Endpoint> activeTargets() {
        Set<Endpoint> targets = new HashSet<>();
        mRecords.forEach(
                (target, record) -> {
                    if (record.state() == TargetState.ACTIVE) {
                        targets.add(target);
                    }
                });
        return targets;
    }

    List<TargetStatus> statuses(long nowMillis) {
        List<TargetStatus> statuses = new ArrayList<>();
        mRecords.values()
                .forEach(record -> statuses.add(record.status(mTemplate.detection(), nowMillis)));
        return statuses;
    }

    List<Explanation> takeExplanations() {
        List<Explanation> explanations = List.copyOf(mExplanations);
        mExplanations.clear();
        return explanations;
    }

    /** Ejects, holds, slows and restores targets according to their assessments. */
    void decide(Map<Endpoint, TargetAssessment> assessments, long nowMillis) {
        excludeSuspects(assessments, nowMillis);
        assessments.forEach(
                (target, assessment) ->
                        updateSpeedWeight(mRecords.get(target), assessment, nowMillis));
        restoreToFloor(nowMillis);
    }

    /**
     * Returns a target to service with slow start and discards its earlier evidence.
     *
     * @param cause the reason, in a short clause
     */
    void beginSlowStart(TargetRecord record, String cause, long nowMillis) {
        mTable.remove(record.target().endpoint());
        record.beginSlowStart(nowMillis);
        String setting = "returnAfter=" + mTemplate.detection().returnAfter();
        recordExplanation(nowMillis, Action.RETURNING, record, cause, "", setting);
    }

    /** Records an action on a target for operators. */
    void recordExplanation(
            long atMillis,
            Action action,
            TargetRecord record,
            String cause,
            String evidence,
            String setting) {
        String subject = mTemplate.id() + " " + record.target().endpoint();
        mExplanations.add(new Explanation(atMillis, action, subject, cause, evidence, setting));
    }

    /** Restores targets whose exclusion, cold start or slow start is over. */
    void restoreDueTargets(long nowMillis) {
        DetectionPolicy policy = mTemplate.detection();
        for (TargetRecord record : mRecords.values()) {
            if (record.isColdTimedOut(nowMillis)) {
                beginSlowStart(record, "the cold start timed out", nowMillis);
            } else if (record.state() == TargetState.RETURNING
                    && record.isSlowStartOver(policy, nowMillis)) {
                record.activate(nowMillis);
                recordExplanation(
                        nowMillis,
                        Action.RESTORED,
                        record,
                        "no fault was detected during slow start",
                        "",
                        "slowStart=" + policy.slowStart());
            } else if (isExcluded(record) && nowMillis >= record.returnAtMillis()) {
                returnToService(record, policy, nowMillis);
            }
        }
    }

    private void returnToService(TargetRecord record, DetectionPolicy policy, long nowMillis) {
        if (record.probeFailedWithin(RECENT_MILLIS, nowMillis)) {
            record.postponeReturn(policy.returnAfter().toMillis(), nowMillis);
            return;
        }
        beginSlowStart(record, "the exclusion period ended", nowMillis);
    }

    private void excludeSuspects(Map<Endpoint, TargetAssessment> assessments, long nowMillis) {
        List<TargetRecord> suspects = new ArrayList<>();
        for (TargetRecord record : mRecords.values()) {
            if (isSuspect(record, assessments.get(record.target().endpoint()), nowMillis)) {
                suspects.add(record);
            } else {
                record.endHold();
            }
        }
        // The highest scores come first, so that the floor keeps the least faulty targets.
        suspects.sort(
                Comparator.comparingDouble(
                                (TargetRecord record) ->
                                        assessments.get(record.target().endpoint()).score())
                        .reversed());
        for (TargetRecord record : suspects) {
            excludeOrHold(record, assessments, nowMillis);
        }
    }

    private static boolean isSuspect(
            TargetRecord record, TargetAssessment assessment, long nowMillis) {
        boolean straggler = record.updateStraggler(assessment.slow(), nowMillis);
        return switch (record.state()) {
            case ACTIVE -> assessment.failing() || straggler || assessment.failingLocally();
            // New and returning targets may be slow at first, so latency is ignored.
            case RETURNING -> assessment.failing() || assessment.failingLocally();
            case AVOIDED_HERE -> assessment.failing();
            default -> false;
        };
    }

    private void excludeOrHold(
            TargetRecord record, Map<Endpoint, TargetAssessment> assessments, long nowMillis) {
        TargetAssessment assessment = assessments.get(record.target().endpoint());
        int floor = mTemplate.floorTargets();
        int healthy = healthyTargetsExcept(record, assessments, nowMillis);
        if (record.state() != TargetState.AVOIDED_HERE && !mFloorPolicy.allows(healthy, floor)) {
            hold(record, assessment, healthy, nowMillis);
            return;
        }
        DetectionPolicy policy = mTemplate.detection();
        if (assessment.failing() || !assessment.failingLocally()) {
            record.exclude(TargetState.EJECTED, policy.returnAfter().toMillis(), nowMillis);
            recordExplanation(
                    nowMillis,
                    Action.EJECTED,
                    record,
                    assessment.failing()
                            ? "it fails more than its peers, by the evidence of the cell"
                            : "it is slower than its peers, by the evidence of the cell",
                    assessment.summary(),
                    setting(assessment));
            return;
        }
        record.exclude(TargetState.AVOIDED_HERE, AVOIDANCE_MILLIS, nowMillis);
        mTable.removeLocal(record.target().endpoint());
        recordExplanation(
                nowMillis,
                Action.AVOIDED,
                record,
                "it fails for this VM, but the evidence of the cell does not confirm a fault",
                assessment.summary(),
                setting(assessment));
    }

    private void hold(
            TargetRecord record, TargetAssessment assessment, int healthy, long nowMillis) {
        if (!record.isHeld()) {
            recordExplanation(
                    nowMillis,
                    Action.FLOOR_HELD,
                    record,
                    healthy + " other targets are known to be healthy",
                    assessment.summary(),
                    "floorTargets=" + mTemplate.floorTargets());
        }
        record.hold(assessment.failureShare());
    }

    private int healthyTargetsExcept(
            TargetRecord excluded, Map<Endpoint, TargetAssessment> assessments, long nowMillis) {
        int healthy = 0;
        for (TargetRecord record : mRecords.values()) {
            if (record != excluded
                    && record.state() == TargetState.ACTIVE
                    && record.succeededWithin(RECENT_MILLIS, nowMillis)
                    && !assessments.get(record.target().endpoint()).isSuspect()) {
                healthy++;
            }
        }
        return healthy;
    }

    private void updateSpeedWeight(
            TargetRecord record, TargetAssessment assessment, long nowMillis) {
        boolean slow = assessment.latencyRatio() >= MIN_SLOW_RATIO;
        double weight = slow ? Math.max(MIN_SPEED_WEIGHT, 1 / assessment.latencyRatio()) : 1;
        if (slow && record.speedWeight() == 1 && record.state() == TargetState.ACTIVE) {
            recordExplanation(
                    nowMillis,
                    Action.SLOWED,
                    record,
                    "it is slower than its peers",
                    assessment.summary(),
                    setting(assessment));
        }
        record.setSpeedWeight(weight);
    }

    /**
     * Restores excluded targets early if fewer targets than the floor receive requests.
     *
     * <p>Leaving targets can shrink the set below the floor, for example in a rolling restart.
     */
    private void restoreToFloor(long nowMillis) {
        long active = mRecords.values().stream().filter(r -> r.state().receivesRequests()).count();
        List<TargetRecord> excluded = new ArrayList<>(mRecords.values());
        excluded.removeIf(record -> !isExcluded(record));
        excluded.sort(Comparator.comparingLong(TargetRecord::returnAtMillis));
        for (TargetRecord record : excluded) {
            if (active >= mTemplate.floorTargets()) {
                return;
            }
            beginSlowStart(record, "too few targets are in service", nowMillis);
            active++;
        }
    }

    private static boolean isExcluded(TargetRecord record) {
        return record.state() == TargetState.EJECTED || record.state() == TargetState.AVOIDED_HERE;
    }

    private String setting(TargetAssessment assessment) {
        DetectionPolicy policy = mTemplate.detection();
        return assessment.failing() || assessment.failingLocally()
                ? "falseEjectionTolerance="
                        + policy.falseEjectionTolerance()
                        + ", failureShare="
                        + policy.failureShare()
                : "slowFactor=" + policy.slowFactor();
    }
}
