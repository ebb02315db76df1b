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
 * Takes targets out and brings them back, within the floor, and says why.
 *
 * <p><b>The floor.</b> A target is taken out, or avoided, only if at least the floor's number of
 * other targets stays in this VM's own set, each with recent good work and nothing against it.
 * Ejections are never sent between VMs, only evidence is: so another VM's decision, however
 * simultaneous, can't shrink this VM's set. As each VM's set keeps the floor by itself, so does
 * what any caller reaches through any VM, and so does the union; no agreement is needed.
 */
final class EjectionController {
    /** A success older than this says nothing of the present. */
    private static final long RECENT_MILLIS = 10_000;

    /** How long a target is left out by this VM alone; doubled each time. */
    private static final long AVOID_MILLIS = 2_000;

    /** A straggler gets less work from this latency over its peers'. */
    private static final double SLOWED_FROM = 1.5;

    private static final double LEAST_SPEED_WEIGHT = 0.3;

    private final FloorPolicy mFloorRule;
    private final EvidenceTable mTable;
    private final Map<Endpoint, TargetRecord> mRecords = new TreeMap<>();
    private final List<Explanation> mExplanations = new ArrayList<>();
    private ServiceTemplate mTemplate;

    EjectionController(
            ServiceTemplate template, FloorPolicy floorRule, EvidenceTable table, long nowMillis) {
        mTemplate = template;
        mFloorRule = floorRule;
        mTable = table;
        for (Target target : template.targets()) {
            mRecords.put(
                    target.endpoint(), new TargetRecord(target, TargetState.ACTIVE, nowMillis));
        }
    }

    /** Takes in a revision: new targets start slowly, dropped ones are forgotten. */
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

    /** Returns the target's record, or null if the template doesn't list it. */
    TargetRecord record(Endpoint target) {
        return mRecords.get(target);
    }

    /** Returns the targets in normal service, which tell what is normal. */
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
        List<Explanation> taken = List.copyOf(mExplanations);
        mExplanations.clear();
        return taken;
    }

    /** Acts on what the evidence says of each target. */
    void decide(Map<Endpoint, TargetAssessment> verdicts, long nowMillis) {
        takeOut(verdicts, nowMillis);
        verdicts.forEach((target, verdict) -> slow(mRecords.get(target), verdict, nowMillis));
        refill(nowMillis);
    }

    /**
     * Gives a target work again, from a small share up; what was seen of it before is forgotten.
     */
    void beginSlowStart(TargetRecord record, String cause, long nowMillis) {
        mTable.remove(record.target().endpoint());
        record.beginSlowStart(nowMillis);
        String setting = "returnAfter=" + mTemplate.detection().returnAfter();
        recordExplanation(nowMillis, Action.RETURNING, record, cause, "", setting);
    }

    /** Keeps a record of something that was done to a target. */
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

    /** Gives work again to those whose time has come; before the evidence is weighed. */
    void restoreDueTargets(long nowMillis) {
        DetectionPolicy policy = mTemplate.detection();
        for (TargetRecord record : mRecords.values()) {
            if (record.isColdTimedOut(nowMillis)) {
                beginSlowStart(record, "it has been starting for too long", nowMillis);
            } else if (record.state() == TargetState.RETURNING
                    && record.isSlowStartOver(policy, nowMillis)) {
                record.activate(nowMillis);
                recordExplanation(
                        nowMillis,
                        Action.RESTORED,
                        record,
                        "nothing spoke against it while it started slowly",
                        "",
                        "slowStart=" + policy.slowStart());
            } else if (isOut(record) && nowMillis >= record.returnAtMillis()) {
                tryAgain(record, policy, nowMillis);
            }
        }
    }

    private void tryAgain(TargetRecord record, DetectionPolicy policy, long nowMillis) {
        if (record.probeFailedWithin(RECENT_MILLIS, nowMillis)) {
            record.postponeReturn(policy.returnAfter().toMillis(), nowMillis);
            return;
        }
        beginSlowStart(record, "its time out is over", nowMillis);
    }

    private void takeOut(Map<Endpoint, TargetAssessment> verdicts, long nowMillis) {
        List<TargetRecord> suspects = new ArrayList<>();
        for (TargetRecord record : mRecords.values()) {
            if (isAgainst(record, verdicts.get(record.target().endpoint()), nowMillis)) {
                suspects.add(record);
            } else {
                record.endHold();
            }
        }
        // The worst go first, so that a floor that stops the rest keeps the least bad ones.
        suspects.sort(
                Comparator.comparingDouble(
                                (TargetRecord record) ->
                                        verdicts.get(record.target().endpoint()).score())
                        .reversed());
        for (TargetRecord record : suspects) {
            takeOutOrHold(record, verdicts, nowMillis);
        }
    }

    private static boolean isAgainst(
            TargetRecord record, TargetAssessment verdict, long nowMillis) {
        boolean straggler = record.isStraggler(verdict.slow(), nowMillis);
        return switch (record.state()) {
            case ACTIVE -> verdict.failing() || straggler || verdict.failingLocally();
            // A target that is new or was out may be slow at first: that is no failure.
            case RETURNING -> verdict.failing() || verdict.failingLocally();
            case AVOIDED_HERE -> verdict.failing();
            default -> false;
        };
    }

    private void takeOutOrHold(
            TargetRecord record, Map<Endpoint, TargetAssessment> verdicts, long nowMillis) {
        TargetAssessment verdict = verdicts.get(record.target().endpoint());
        int floor = mTemplate.floorTargets();
        int healthy = knownHealthyWithout(record, verdicts, nowMillis);
        if (record.state() != TargetState.AVOIDED_HERE && !mFloorRule.allows(healthy, floor)) {
            hold(record, verdict, healthy, nowMillis);
            return;
        }
        DetectionPolicy policy = mTemplate.detection();
        if (verdict.failing() || !verdict.failingLocally()) {
            record.takeOut(TargetState.EJECTED, policy.returnAfter().toMillis(), nowMillis);
            recordExplanation(
                    nowMillis,
                    Action.EJECTED,
                    record,
                    verdict.failing()
                            ? "it fails more than its peers, seen from the cell"
                            : "it is slower than its peers, seen from the cell",
                    verdict.summary(),
                    setting(verdict));
            return;
        }
        record.takeOut(TargetState.AVOIDED_HERE, AVOID_MILLIS, nowMillis);
        mTable.removeLocal(record.target().endpoint());
        recordExplanation(
                nowMillis,
                Action.AVOIDED,
                record,
                "it fails for this VM; the cell doesn't confirm it",
                verdict.summary(),
                setting(verdict));
    }

    private void hold(TargetRecord record, TargetAssessment verdict, int healthy, long nowMillis) {
        if (!record.isHeld()) {
            recordExplanation(
                    nowMillis,
                    Action.FLOOR_HELD,
                    record,
                    healthy + " others are known to be well",
                    verdict.summary(),
                    "floorTargets=" + mTemplate.floorTargets());
        }
        record.hold(verdict.failureShare());
    }

    private int knownHealthyWithout(
            TargetRecord candidate, Map<Endpoint, TargetAssessment> verdicts, long nowMillis) {
        int healthy = 0;
        for (TargetRecord record : mRecords.values()) {
            if (record != candidate
                    && record.state() == TargetState.ACTIVE
                    && record.succeededWithin(RECENT_MILLIS, nowMillis)
                    && !verdicts.get(record.target().endpoint()).isSuspect()) {
                healthy++;
            }
        }
        return healthy;
    }

    private void slow(TargetRecord record, TargetAssessment verdict, long nowMillis) {
        boolean slow = verdict.latencyRatio() >= SLOWED_FROM;
        double weight = slow ? Math.max(LEAST_SPEED_WEIGHT, 1 / verdict.latencyRatio()) : 1;
        if (slow && record.speedWeight() == 1 && record.state() == TargetState.ACTIVE) {
            recordExplanation(
                    nowMillis,
                    Action.SLOWED,
                    record,
                    "it is slower than its peers",
                    verdict.summary(),
                    setting(verdict));
        }
        record.setSpeedWeight(weight);
    }

    /**
     * Brings targets back early when others left and too few get work.
     *
     * <p>Guards against a rolling restart on top of ejections: each leaving target shrinks the set
     * though no ejection does. A doubtful target then is better than none.
     */
    private void refill(long nowMillis) {
        long active = mRecords.values().stream().filter(r -> r.state().receivesRequests()).count();
        List<TargetRecord> out = new ArrayList<>(mRecords.values());
        out.removeIf(record -> !isOut(record));
        out.sort(Comparator.comparingLong(TargetRecord::returnAtMillis));
        for (TargetRecord record : out) {
            if (active >= mTemplate.floorTargets()) {
                return;
            }
            beginSlowStart(record, "too few targets get work", nowMillis);
            active++;
        }
    }

    private static boolean isOut(TargetRecord record) {
        return record.state() == TargetState.EJECTED || record.state() == TargetState.AVOIDED_HERE;
    }

    private String setting(TargetAssessment verdict) {
        DetectionPolicy policy = mTemplate.detection();
        return verdict.failing() || verdict.failingLocally()
                ? "falseEjectionTolerance="
                        + policy.falseEjectionTolerance()
                        + ", failureShare="
                        + policy.failureShare()
                : "slowFactor=" + policy.slowFactor();
    }
}
