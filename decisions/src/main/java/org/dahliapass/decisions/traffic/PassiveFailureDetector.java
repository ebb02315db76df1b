package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.latency.ResponseTimeCurve;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * A passive failure detector for the targets of one service, based on the outcomes of the requests
 * that this and the other VMs send to them.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call on one target is O(requests in flight
 * to it and VMs that report it).
 */
public final class PassiveFailureDetector {
    /**
     * How long a target that shed load is avoided, in milliseconds. It has processed a part of its
     * queue after this time.
     */
    private static final long COOLDOWN_MILLIS = 250;

    /** How long a rest that a target asked another VM for counts, as a multiple of the rest. */
    private static final int PEER_REST_FACTOR = 2;

    /** Longer than several report intervals. */
    private static final long REPORT_TTL_MILLIS = 1_000;

    /** About the last 50 requests count. */
    private static final double REQUEST_MIX_WEIGHT = 0.02;

    /** About the last 100 attempts count. */
    private static final double LOSS_RATE_WEIGHT = 0.01;

    /** Used until the first request, which may be of either sort. */
    private static final double INITIAL_NON_REPEATABLE_SHARE = 0.5;

    /** A response from a target above this failing probability is reported at once. */
    private static final double SUSPECT_PROBABILITY = 0.5;

    /**
     * A timeout is no observation if a larger share of the responses of healthy targets takes as
     * long.
     */
    private static final double MAX_TIMEOUT_SURVIVAL = 0.5;

    private final ServiceTimeEstimator mTimes;
    private final SlotTable mSlots;
    private final FailureModel mModel = new FailureModel();
    private final TargetStateEstimator mTargetStates = new TargetStateEstimator(mModel);
    private final PathStateEstimator mPathStates = new PathStateEstimator();
    private final Map<Endpoint, TargetState> mTargets = new HashMap<>();
    private final Map<Endpoint, Long> mUnreportedResponses = new HashMap<>();
    private final List<TargetObservation> mObservations = new ArrayList<>();
    private Set<Endpoint> mReportedInFlight = Set.of();
    private double mNonRepeatableShare = INITIAL_NON_REPEATABLE_SHARE;
    private double mLossRate;
    private double mSilenceRate;

    /** The likelihood ratio of the unanswered requests that another VM reported for a target. */
    private record PeerSilence(double silenceRatio, long atMillis) {}

    /** The state of one target apart from the outcomes of its attempts. */
    private static final class TargetState {
        private final PendingAttempts mPending = new PendingAttempts();
        private final Map<String, PeerSilence> mPeerSilence = new HashMap<>();
        private long mCooldownUntilMillis = Long.MIN_VALUE;

        /** When another VM said that the target wants a rest. */
        private long mPeerRestMillis = Long.MIN_VALUE;

        private long mPeerRestEndMillis = Long.MIN_VALUE;
        private long mLastUsedMillis = Long.MIN_VALUE / 2;

        private void markUsed(long millis) {
            mLastUsedMillis = Math.max(mLastUsedMillis, millis);
        }

        /** Ends a rest that another VM told of, since the target took a later request. */
        private void onAnswered(long sentMillis) {
            if (sentMillis > mPeerRestMillis) {
                mPeerRestEndMillis = Long.MIN_VALUE;
            }
        }
    }

    /**
     * Creates a detector without observations.
     *
     * @param times estimates when a response is overdue
     * @param slots this VM's requests in flight
     */
    public PassiveFailureDetector(ServiceTimeEstimator times, SlotTable slots) {
        mTimes = times;
        mSlots = slots;
    }

    /**
     * Records the start of an attempt.
     *
     * @param attempt identifies the attempt
     */
    public void onStarted(RequestKind kind, Endpoint target, Object attempt, long nowMillis) {
        TargetState state = state(target);
        state.markUsed(nowMillis);
        state.mPending.start(attempt, mTimes.responseTimes(kind), nowMillis);
    }

    private TargetState state(Endpoint target) {
        return mTargets.computeIfAbsent(target, unused -> new TargetState());
    }

    /**
     * Returns the outcome of an attempt as far as it is evidence of the target's state: a timeout
     * that most responses of a healthy target would exceed counts as a cancellation.
     */
    public Outcome observedOutcome(RequestKind kind, Outcome outcome, long ageMillis) {
        boolean isShort =
                outcome == Outcome.TIMEOUT
                        && mTimes.learnsResponseTimes()
                        && mTimes.responseTimes(kind).survivalProbability(ageMillis)
                                > MAX_TIMEOUT_SURVIVAL;
        return isShort ? Outcome.CANCELLED : outcome;
    }

    /**
     * Records the end of an attempt.
     *
     * @param attempt identifies the attempt
     * @param startedMillis when it was sent, in milliseconds
     */
    public void onEnded(
            RequestKind kind,
            Endpoint target,
            Object attempt,
            long startedMillis,
            Outcome outcome,
            long nowMillis) {
        boolean pending = state(target).mPending.end(attempt);
        long age = nowMillis - startedMillis;
        ResponseTimeCurve responseTimes = mTimes.responseTimes(kind);
        double survival = responseTimes.survivalProbability(age);
        Outcome observed = observedOutcome(kind, outcome, age);
        recordLoss(observed);
        recordSilence(observed, pending);
        if (outcome == Outcome.TIMEOUT && pending && mTimes.learnsResponseTimes()) {
            double answer = 1 - lossProbability(target, nowMillis);
            double late = answer * survival;
            mTimes.onTimeout(kind, age, late / (late + 1 - answer));
        }
        boolean overdue = age >= responseTimes.overdueAfterMillis();
        switch (observed) {
            case SUCCESS -> {
                if (!overdue) {
                    onAnswered(target, startedMillis, nowMillis);
                }
            }
            case REFUSED_SHED -> state(target).mCooldownUntilMillis = nowMillis + COOLDOWN_MILLIS;
            case FAILURE -> onFailed(target, Observation.ERROR, startedMillis);
            case CANCELLED -> {
                if (overdue && pending) {
                    onSilence(target, Observation.LATE, startedMillis, survival);
                }
            }
            case TIMEOUT -> {
                if (pending) {
                    onSilence(target, Observation.SILENT, startedMillis, survival);
                }
            }
            default -> {
                if (pending) {
                    onFailed(target, Observation.BROKEN, startedMillis);
                }
            }
        }
    }

    /**
     * Updates the share of attempts without a response. An attempt that was cancelled counts only
     * if it was presumed lost before, since its response might have come.
     */
    private void recordSilence(Outcome outcome, boolean wasPending) {
        if (outcome == Outcome.REFUSED_SHED || (outcome == Outcome.CANCELLED && wasPending)) {
            return;
        }
        boolean isSilent = !wasPending || outcome == Outcome.TIMEOUT;
        mSilenceRate += ((isSilent ? 1 : 0) - mSilenceRate) * LOSS_RATE_WEIGHT;
    }

    /** Returns the share of this VM's recent attempts that got no response. */
    double silenceRate() {
        return mSilenceRate;
    }

    /** Updates the loss rate; cancelled attempts and load shedding don't count. */
    private void recordLoss(Outcome outcome) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.REFUSED_SHED) {
            return;
        }
        double lost = outcome == Outcome.SUCCESS ? 0 : 1;
        mLossRate += (lost - mLossRate) * LOSS_RATE_WEIGHT;
    }

    /** Returns the share of this VM's recent attempts that were lost. */
    public double lossRate() {
        return mLossRate;
    }

    private void onAnswered(Endpoint target, long startedMillis, long nowMillis) {
        boolean suspected =
                mTargetStates.failingProbability(target, nowMillis) > SUSPECT_PROBABILITY;
        onOwnObservation(target, Observation.ANSWERED, startedMillis);
        state(target).onAnswered(startedMillis);
        if (suspected) {
            mObservations.add(new TargetObservation(target, Observation.ANSWERED, startedMillis));
        } else {
            mUnreportedResponses.merge(target, startedMillis, Math::max);
        }
    }

    private void onFailed(Endpoint target, Observation observation, long startedMillis) {
        onOwnObservation(target, observation, startedMillis);
        mObservations.add(new TargetObservation(target, observation, startedMillis));
    }

    /**
     * Records an attempt that ended without a response.
     *
     * <p>The other VMs are told of it only if it is at least as strong evidence as they take a
     * report for, since a report doesn't say how strong it is.
     *
     * @param survival the probability that a healthy target takes as long
     */
    private void onSilence(
            Endpoint target, Observation observation, long startedMillis, double survival) {
        boolean isReported = observation == Observation.SILENT;
        if (mTimes.learnsResponseTimes()) {
            double whenFailing = mModel.silenceWhenFailing(survival);
            boolean isWeak = whenFailing / survival < Math.sqrt(observation.ratio(mModel));
            isReported &= !isWeak;
            onOwnObservation(target, observation, startedMillis, whenFailing, survival, isWeak);
        } else {
            onOwnObservation(target, observation, startedMillis);
        }
        if (isReported) {
            mObservations.add(new TargetObservation(target, observation, startedMillis));
        }
    }

    /**
     * Updates the estimates of the target and of the network path, each weighted by how well the
     * other one explains the outcome.
     */
    private void onOwnObservation(Endpoint target, Observation observation, long startedMillis) {
        onOwnObservation(
                target,
                observation,
                startedMillis,
                observation.likelihoodWhenFailing(mModel),
                observation.likelihoodWhenHealthy(mModel),
                false);
    }

    private void onOwnObservation(
            Endpoint target,
            Observation observation,
            long startedMillis,
            double whenFailing,
            double whenHealthy,
            boolean isWeak) {
        double partitioned = mPathStates.partitionProbability(target, startedMillis);
        double failing = mTargetStates.failingProbability(target, startedMillis);
        double ratio =
                observation.hasResponse()
                        ? whenFailing / whenHealthy
                        : (partitioned + (1 - partitioned) * whenFailing)
                                / (partitioned + (1 - partitioned) * whenHealthy);
        if (isWeak) {
            mTargetStates.onWeakEvidence(target, ratio, startedMillis);
        } else {
            mTargetStates.onObservation(target, observation, ratio, startedMillis);
        }
        mPathStates.onObservation(
                target,
                observation,
                failing * whenFailing + (1 - failing) * whenHealthy,
                startedMillis);
    }

    /**
     * Applies an observation of another VM. A missing response may be caused by that VM's network
     * path, so it gets half of the weight (in log odds).
     */
    private void applyPeerObservation(Endpoint target, Observation observation, long sentMillis) {
        double ratio = observation.ratio(mModel);
        mTargetStates.onObservation(
                target,
                observation,
                observation.hasResponse() ? ratio : Math.sqrt(ratio),
                sentMillis);
    }

    /** Records attempts as lost by their age, before their timeout expires. */
    public void expireOverdue(long nowMillis) {
        mTargets.forEach(
                (target, state) -> {
                    for (PendingAttempts.LostAttempt lost : state.mPending.removeLost(nowMillis)) {
                        onSilence(
                                target,
                                Observation.SILENT,
                                lost.startedMillis(),
                                lost.survivalProbability());
                    }
                });
    }

    /** Returns and clears the observations to send to the other VMs, oldest first. */
    public List<TargetObservation> drainObservations() {
        List<TargetObservation> observations = List.copyOf(mObservations);
        mObservations.clear();
        return observations;
    }

    /** Records an observation of another VM. */
    public void onPeerObservation(TargetObservation update) {
        state(update.target()).markUsed(update.sentMillis());
        applyPeerObservation(update.target(), update.observation(), update.sentMillis());
    }

    /**
     * Records another VM's report, which lists all targets to which it has requests in flight.
     *
     * @param vm the VM's name
     */
    public void onPeerReport(String vm, List<TargetReport> report, long nowMillis) {
        for (TargetReport targetReport : report) {
            TargetState state = state(targetReport.target());
            targetReport
                    .lastAnsweredMillis()
                    .ifPresent(
                            sent -> {
                                state.markUsed(sent);
                                state.onAnswered(sent);
                                applyPeerObservation(
                                        targetReport.target(), Observation.ANSWERED, sent);
                            });
            if (targetReport.inFlight() > 0) {
                state.markUsed(nowMillis);
                state.mPeerSilence.put(vm, new PeerSilence(targetReport.silenceRatio(), nowMillis));
            } else {
                state.mPeerSilence.remove(vm);
            }
        }
    }

    /** Returns the probability that a target is failing, from 0 to 1. */
    public double failingProbability(Endpoint target, long nowMillis) {
        return failingProbabilityWithout(null, target, nowMillis);
    }

    private double failingProbabilityWithout(Object attempt, Endpoint target, long nowMillis) {
        double probability = mTargetStates.failingProbability(target, nowMillis);
        TargetState state = mTargets.get(target);
        if (state == null) {
            return probability;
        }
        double silenceRatio = state.mPending.silenceRatio(mModel, attempt, nowMillis);
        double odds = probability / (1 - probability) * silenceRatio;
        state.mPeerSilence
                .values()
                .removeIf(peer -> nowMillis - peer.atMillis() > REPORT_TTL_MILLIS);
        for (PeerSilence peer : state.mPeerSilence.values()) {
            odds *= peer.silenceRatio();
        }
        return odds / (1 + odds);
    }

    /** Returns the probability that a request sent to a target now is lost. */
    public double lossProbability(Endpoint target, long nowMillis) {
        return lossProbabilityWithout(null, target, nowMillis);
    }

    /**
     * Returns the probability as {@link #lossProbability} does, without the silence of one attempt.
     *
     * @param attempt identifies the attempt; null for none
     */
    double lossProbabilityWithout(Object attempt, Endpoint target, long nowMillis) {
        double failing = failingProbabilityWithout(attempt, target, nowMillis);
        double targetLoss =
                failing * mModel.failureRateWhenFailing()
                        + (1 - failing) * mModel.failureRateWhenHealthy();
        return 1 - (1 - targetLoss) * (1 - mPathStates.partitionProbability(target, nowMillis));
    }

    /** Records a request's first attempt, before a target is selected. */
    public void onFirstAttempt(RequestKind kind) {
        double nonRepeatable = kind.idempotency().isRepeatable() ? 0 : 1;
        mNonRepeatableShare += (nonRepeatable - mNonRepeatableShare) * REQUEST_MIX_WEIGHT;
    }

    /** Returns the share of the service's recent requests that must not be repeated. */
    public double nonRepeatableShare() {
        return mNonRepeatableShare;
    }

    /**
     * Returns the probability that this VM's network path to a target is partitioned, from 0 to 1.
     */
    public double partitionProbability(Endpoint target, long nowMillis) {
        return mPathStates.partitionProbability(target, nowMillis);
    }

    /** Returns the estimated share of targets that are failing at any time. */
    public double failingShare() {
        return mModel.failingShare();
    }

    /**
     * Returns when the latest attempt with a known outcome was sent, in milliseconds; 0 for never.
     */
    public long lastObservedMillis(Endpoint target) {
        return mTargetStates.lastObservedMillis(target);
    }

    /**
     * Returns when any VM last had a request at a target, as far as this VM knows, in milliseconds.
     */
    public long lastUsedMillis(Endpoint target) {
        TargetState state = mTargets.get(target);
        return state == null ? Long.MIN_VALUE / 2 : state.mLastUsedMillis;
    }

    /**
     * Records that a target has asked another VM for a rest.
     *
     * <p>That counts until the target responds to any VM, or for longer than the rest: the VMs that
     * it has asked find out first whether the rest is over.
     *
     * @param restMillis the remaining time of the rest, in milliseconds
     */
    public void onPeerRest(Endpoint target, long restMillis, long nowMillis) {
        TargetState state = state(target);
        state.mPeerRestMillis = nowMillis;
        state.mPeerRestEndMillis = nowMillis + PEER_REST_FACTOR * restMillis;
    }

    /** Returns whether the target shed load recently. */
    public boolean isCoolingDown(Endpoint target, long nowMillis) {
        TargetState state = mTargets.get(target);
        return state != null && nowMillis < state.mCooldownUntilMillis;
    }

    /** Returns whether the target probably wants a rest, because it asked another VM for one. */
    public boolean isPeerResting(Endpoint target, long nowMillis) {
        TargetState state = mTargets.get(target);
        return state != null && nowMillis < state.mPeerRestEndMillis;
    }

    /** Discards the state of restarted targets. */
    public void forget(Set<Endpoint> targets) {
        mTargetStates.forget(targets);
        mPathStates.forget(targets);
        mTargets.keySet().removeAll(targets);
        mUnreportedResponses.keySet().removeAll(targets);
    }

    /** Discards the state of all targets except the given ones. */
    public void retain(Set<Endpoint> targets) {
        mTargetStates.retain(targets);
        mPathStates.retain(targets);
        mTargets.keySet().retainAll(targets);
        mUnreportedResponses.keySet().retainAll(targets);
    }

    /** Returns what has changed for the other VMs since the last report; empty if nothing has. */
    public List<TargetReport> drainReport(long nowMillis) {
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        mSlots.ownReport().forEach(own -> inFlight.put(own.target(), own.inFlight()));
        Set<Endpoint> reported = new HashSet<>(mReportedInFlight);
        reported.addAll(inFlight.keySet());
        reported.addAll(mUnreportedResponses.keySet());
        List<TargetReport> report = new ArrayList<>();
        for (Endpoint target : reported) {
            Long lastAnswered = mUnreportedResponses.get(target);
            TargetState state = mTargets.get(target);
            report.add(
                    new TargetReport(
                            target,
                            inFlight.getOrDefault(target, 0),
                            state == null ? 1 : state.mPending.silenceRatio(mModel, nowMillis),
                            lastAnswered == null
                                    ? OptionalLong.empty()
                                    : OptionalLong.of(lastAnswered)));
        }
        mReportedInFlight = Set.copyOf(inFlight.keySet());
        mUnreportedResponses.clear();
        return report;
    }
}
