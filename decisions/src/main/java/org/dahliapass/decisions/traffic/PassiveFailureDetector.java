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
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call on one target costs O(requests in flight there and VMs that report).
 */
public final class PassiveFailureDetector {
    /** A full target has worked off a part of its queue after this time, in milliseconds. */
    private static final long REST_MILLIS = 250;

    /** Reports come ten times a second; one that is older counts for nothing, in milliseconds. */
    private static final long REPORT_KEPT_MILLIS = 1_000;

    /** The weight of the newest request in the mix of requests: about the last fifty count. */
    private static final double NEWEST_WEIGHT = 0.02;

    /** The weight of the newest work in the share that is lost: about the last hundred count. */
    private static final double LOST_WEIGHT = 0.01;

    /** The share of requests that must not repeat while none came yet: either may come first. */
    private static final double UNKNOWN_SHARE = 0.5;

    /** A proof after doubt is told at once, from this chance of a bout on. */
    private static final double DOUBT = 0.5;

    private final ServiceTimeEstimator mTimes;
    private final SlotTable mSlots;
    private final FailureModel mRates = new FailureModel();
    private final TargetStateEstimator mBeliefs = new TargetStateEstimator(mRates);
    private final PathStateEstimator mPaths = new PathStateEstimator();
    private final Map<Endpoint, TargetSigns> mTargets = new HashMap<>();
    private final Map<Endpoint, Long> mUntoldProofs = new HashMap<>();
    private final List<TargetObservation> mNews = new ArrayList<>();
    private Set<Endpoint> mToldInFlight = Set.of();
    private double mShareThatMustNotRepeat = UNKNOWN_SHARE;
    private double mLostShare;

    /** What one other VM told of its unanswered work at a target. */
    private record PeerSilence(double silence, long atMillis) {}

    /** What is known of one target beside the ends of its work. */
    private static final class TargetSigns {
        private final PendingAttempts mWork = new PendingAttempts();
        private final Map<String, PeerSilence> mPeers = new HashMap<>();
        private long mRestUntilMillis = Long.MIN_VALUE;
        private long mUsedMillis = Long.MIN_VALUE / 2;

        private void use(long millis) {
            mUsedMillis = Math.max(mUsedMillis, millis);
        }
    }

    /**
     * Starts without evidence.
     *
     * @param times what is an unusual time for an answer
     * @param slots what is in flight
     */
    public PassiveFailureDetector(ServiceTimeEstimator times, SlotTable slots) {
        mTimes = times;
        mSlots = slots;
    }

    /**
     * Takes the start of a piece of work.
     *
     * @param work identifies it
     */
    public void onStarted(RequestKind kind, Endpoint target, Object work, long nowMillis) {
        long overdueMillis = nowMillis + mTimes.overdueAfterMillis(kind);
        TargetSigns signs = signs(target);
        signs.use(nowMillis);
        signs.mWork.start(work, overdueMillis, nowMillis);
    }

    private TargetSigns signs(Endpoint target) {
        return mTargets.computeIfAbsent(target, unused -> new TargetSigns());
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
        boolean unjudged = signs(target).mWork.end(work);
        noteLost(outcome);
        boolean late = nowMillis - startedMillis >= mTimes.overdueAfterMillis(kind);
        switch (outcome) {
            case SUCCESS -> {
                if (!late) {
                    onAnswered(target, startedMillis, nowMillis);
                }
            }
            case REFUSED_SHED -> signs(target).mRestUntilMillis = nowMillis + REST_MILLIS;
            case FAILURE -> onFailed(target, Observation.ERROR, startedMillis);
            case CANCELLED -> {
                if (late && unjudged) {
                    onOwnEnd(target, Observation.LATE, startedMillis);
                }
            }
            default -> {
                if (unjudged) {
                    boolean silent = outcome == Outcome.TIMEOUT;
                    onFailed(
                            target,
                            silent ? Observation.SILENT : Observation.BROKEN,
                            startedMillis);
                }
            }
        }
    }

    /** Counts what ended; work that was given up or refused by a full target says nothing. */
    private void noteLost(Outcome outcome) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.REFUSED_SHED) {
            return;
        }
        double lost = outcome == Outcome.SUCCESS ? 0 : 1;
        mLostShare += (lost - mLostShare) * LOST_WEIGHT;
    }

    /** Returns the share of this VM's newest work that was lost. */
    public double lossRate() {
        return mLostShare;
    }

    private void onAnswered(Endpoint target, long startedMillis, long nowMillis) {
        boolean doubted = mBeliefs.failingProbability(target, nowMillis) > DOUBT;
        onOwnEnd(target, Observation.ANSWERED, startedMillis);
        if (doubted) {
            mNews.add(new TargetObservation(target, Observation.ANSWERED, startedMillis));
        } else {
            mUntoldProofs.merge(target, startedMillis, Math::max);
        }
    }

    private void onFailed(Endpoint target, Observation sign, long startedMillis) {
        onOwnEnd(target, sign, startedMillis);
        mNews.add(new TargetObservation(target, sign, startedMillis));
    }

    /** Blames the target and the path, each by how well the other one explains the end. */
    private void onOwnEnd(Endpoint target, Observation sign, long startedMillis) {
        double cut = mPaths.partitionProbability(target, startedMillis);
        double bout = mBeliefs.failingProbability(target, startedMillis);
        double inBout = sign.likelihoodWhenFailing(mRates);
        double whileSound = sign.likelihoodWhenHealthy(mRates);
        double ratio =
                sign.hasResponse()
                        ? inBout / whileSound
                        : (cut + (1 - cut) * inBout) / (cut + (1 - cut) * whileSound);
        mBeliefs.onObservation(target, sign, ratio, startedMillis);
        mPaths.onObservation(target, sign, bout * inBout + (1 - bout) * whileSound, startedMillis);
    }

    /**
     * Takes what another VM saw. Without an answer it may have been that VM's own path: half of the
     * weight leaves a target that others still use in use with them.
     */
    private void onPeerEnd(Endpoint target, Observation sign, long sentMillis) {
        double ratio = sign.likelihoodWhenFailing(mRates) / sign.likelihoodWhenHealthy(mRates);
        mBeliefs.onObservation(
                target, sign, sign.hasResponse() ? ratio : Math.sqrt(ratio), sentMillis);
    }

    /**
     * Takes work without an answer for lost once it is overdue by as long again, without waiting
     * for its timeout, which may be seconds away; about 1 in 40 sound answers takes longer.
     */
    public void expireOverdue(long nowMillis) {
        mTargets.forEach(
                (target, signs) -> {
                    for (long startedMillis : signs.mWork.removeLost(nowMillis)) {
                        onFailed(target, Observation.SILENT, startedMillis);
                    }
                });
    }

    /** Returns what other VMs should hear of at once, oldest first, and forgets it. */
    public List<TargetObservation> drainObservations() {
        List<TargetObservation> news = List.copyOf(mNews);
        mNews.clear();
        return news;
    }

    /** Takes another VM's news. */
    public void onPeerObservation(TargetObservation news) {
        signs(news.target()).use(news.sentMillis());
        onPeerEnd(news.target(), news.observation(), news.sentMillis());
    }

    /**
     * Takes another VM's report, which lists all targets where it has work in flight.
     *
     * @param vm the VM's name
     */
    public void onPeerReport(String vm, List<TargetReport> report, long nowMillis) {
        for (TargetReport work : report) {
            TargetSigns signs = signs(work.target());
            work.lastAnsweredMillis()
                    .ifPresent(
                            sent -> {
                                signs.use(sent);
                                onPeerEnd(work.target(), Observation.ANSWERED, sent);
                            });
            if (work.inFlight() > 0) {
                signs.use(nowMillis);
                signs.mPeers.put(vm, new PeerSilence(work.silenceRatio(), nowMillis));
            } else {
                signs.mPeers.remove(vm);
            }
        }
    }

    /** Returns the chance that a target is in a bout, from 0 to 1. */
    public double failingProbability(Endpoint target, long nowMillis) {
        double chance = mBeliefs.failingProbability(target, nowMillis);
        TargetSigns signs = mTargets.get(target);
        if (signs == null) {
            return chance;
        }
        double odds = chance / (1 - chance) * signs.mWork.silenceRatio(mRates, nowMillis);
        signs.mPeers.values().removeIf(peer -> nowMillis - peer.atMillis() > REPORT_KEPT_MILLIS);
        for (PeerSilence peer : signs.mPeers.values()) {
            odds *= peer.silence();
        }
        return odds / (1 + odds);
    }

    /** Returns the chance that a target fails a piece of work that it is sent now. */
    public double lossProbability(Endpoint target, long nowMillis) {
        double bout = failingProbability(target, nowMillis);
        double byTarget =
                bout * mRates.failureRateWhenFailing()
                        + (1 - bout) * mRates.failureRateWhenHealthy();
        return 1 - (1 - byTarget) * (1 - mPaths.partitionProbability(target, nowMillis));
    }

    /** Takes a request's first try, before it has a target. */
    public void onFirstAttempt(RequestKind kind) {
        double mustNotRepeat = kind.idempotency().isRepeatable() ? 0 : 1;
        mShareThatMustNotRepeat += (mustNotRepeat - mShareThatMustNotRepeat) * NEWEST_WEIGHT;
    }

    /** Returns the share of the service's newest requests that must not repeat. */
    public double nonRepeatableShare() {
        return mShareThatMustNotRepeat;
    }

    /** Returns the chance that this VM's path to a target is cut, from 0 to 1. */
    public double partitionProbability(Endpoint target, long nowMillis) {
        return mPaths.partitionProbability(target, nowMillis);
    }

    /** Returns the share of targets that are in a bout at any time, as learned. */
    public double failingShare() {
        return mRates.failingShare();
    }

    /** Returns when the newest work of which the end is known was sent; 0 for never. */
    public long lastObservedMillis(Endpoint target) {
        return mBeliefs.lastObservedMillis(target);
    }

    /** Returns when any VM last had work at a target, as far as this one knows. */
    public long lastUsedMillis(Endpoint target) {
        TargetSigns signs = mTargets.get(target);
        return signs == null ? Long.MIN_VALUE / 2 : signs.mUsedMillis;
    }

    /** Returns whether the target was full a moment ago. */
    public boolean isCoolingDown(Endpoint target, long nowMillis) {
        TargetSigns signs = mTargets.get(target);
        return signs != null && nowMillis < signs.mRestUntilMillis;
    }

    /** Forgets what work showed of some targets, which started again. */
    public void forget(Set<Endpoint> targets) {
        mBeliefs.forget(targets);
        mPaths.forget(targets);
        mTargets.keySet().removeAll(targets);
        mUntoldProofs.keySet().removeAll(targets);
    }

    /** Forgets the targets that aren't among these. */
    public void retain(Set<Endpoint> targets) {
        mBeliefs.retain(targets);
        mPaths.retain(targets);
        mTargets.keySet().retainAll(targets);
        mUntoldProofs.keySet().retainAll(targets);
    }

    /** Returns what is new for the other VMs since the last report; empty if nothing is. */
    public List<TargetReport> drainReport(long nowMillis) {
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        mSlots.ownReport().forEach(use -> inFlight.put(use.target(), use.inFlight()));
        Set<Endpoint> told = new HashSet<>(mToldInFlight);
        told.addAll(inFlight.keySet());
        told.addAll(mUntoldProofs.keySet());
        List<TargetReport> report = new ArrayList<>();
        for (Endpoint target : told) {
            Long proven = mUntoldProofs.get(target);
            TargetSigns signs = mTargets.get(target);
            report.add(
                    new TargetReport(
                            target,
                            inFlight.getOrDefault(target, 0),
                            signs == null ? 1 : signs.mWork.silenceRatio(mRates, nowMillis),
                            proven == null ? OptionalLong.empty() : OptionalLong.of(proven)));
        }
        mToldInFlight = Set.copyOf(inFlight.keySet());
        mUntoldProofs.clear();
        return report;
    }
}
