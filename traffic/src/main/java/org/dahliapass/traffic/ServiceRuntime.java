package org.dahliapass.traffic;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.Admission;
import org.dahliapass.decisions.traffic.AdmissionQueue;
import org.dahliapass.decisions.traffic.DispatchResult;
import org.dahliapass.decisions.traffic.ExpiredEntry;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.HedgePolicy;
import org.dahliapass.decisions.traffic.LoadBalancer;
import org.dahliapass.decisions.traffic.PassiveFailureDetector;
import org.dahliapass.decisions.traffic.QueueEntry;
import org.dahliapass.decisions.traffic.QueueLimits;
import org.dahliapass.decisions.traffic.RateLimiter;
import org.dahliapass.decisions.traffic.RetryBudget;
import org.dahliapass.decisions.traffic.RetryDecision;
import org.dahliapass.decisions.traffic.RetryPolicy;
import org.dahliapass.decisions.traffic.ServiceTimeEstimator;
import org.dahliapass.decisions.traffic.SlotTable;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.VmIdentity;

/**
 * The traffic decisions of one service on this VM behind one lock, which traffic threads and the
 * control thread share. No callback runs while the lock is held.
 */
public final class ServiceRuntime {
    private static final long REPORT_HALF_LIFE_MILLIS = 2000;
    private static final int RATE_BUCKETS = 10_000;

    private final ServiceId mId;
    private final int mSlotsPerTarget;
    private final Clock mClock;
    private final TargetEventListener mOutcomes;
    private final EntryMetrics mMetrics;
    private final SlotTable mSlots;
    private final ServiceTimeEstimator mTimes = new ServiceTimeEstimator();
    private final PassiveFailureDetector mEvidence;
    private final LoadBalancer mBalancer;
    private final RetryBudget mBudget = new RetryBudget();
    private final AdmissionQueue<SlotWaiter> mQueue;
    private final RetryPolicy mRetries;
    private final HedgePolicy mHedges;
    private volatile BiConsumer<ServiceId, TargetObservation> mNewsListener =
            (service, change) -> {};

    /** Who is at each target's address, as the newest view of the targets has it. */
    private Map<Endpoint, TargetInstance> mInstances = Map.of();

    private final RateLimiter mRates = new RateLimiter(RATE_BUCKETS);

    /**
     * Starts without targets.
     *
     * @param zone this VM's availability zone
     */
    public ServiceRuntime(
            String zone,
            ServiceTemplate template,
            Clock clock,
            RandomGenerator random,
            TargetEventListener evidence,
            EntryMetrics metrics) {
        mId = template.id();
        mSlotsPerTarget = template.slotsPerTarget();
        mClock = clock;
        mOutcomes = evidence;
        mMetrics = metrics;
        mSlots = new SlotTable(template.slotsPerTarget(), REPORT_HALF_LIFE_MILLIS);
        mEvidence = new PassiveFailureDetector(mTimes, mSlots);
        mBalancer =
                new LoadBalancer(
                        zone,
                        template.floorShare(),
                        mSlots,
                        LoadBalancer.bulkyShare(template.kinds()),
                        random,
                        mEvidence);
        mQueue =
                new AdmissionQueue<>(
                        QueueLimits.forService(template), mSlots, mBalancer, mTimes, random);
        mRetries = new RetryPolicy(mBudget, mBalancer, mSlots, mTimes);
        mHedges = new HedgePolicy(mBudget, mBalancer, mSlots, mTimes, mEvidence);
    }

    /** Returns the service. */
    public ServiceId id() {
        return mId;
    }

    /** Returns whether these decisions still fit a new revision of the service. */
    public boolean isCompatibleWith(ServiceTemplate template) {
        return template.slotsPerTarget() == mSlotsPerTarget;
    }

    /**
     * Gets a slot for a request's first try, at once or after a wait.
     *
     * @return fails with a {@link RefusedException}; cancel it if the caller goes away
     */
    public CompletableFuture<Slot> acquire(SlotRequest request, Set<Endpoint> excluded) {
        QueueEntry<SlotWaiter> entry = newEntry(request, excluded);
        OptionalLong wait = rateWait(request);
        if (wait.isPresent()) {
            return CompletableFuture.failedFuture(RefusedException.rateLimited(wait.getAsLong()));
        }
        offer(entry, true);
        return withdrawnOnCancel(entry);
    }

    /**
     * Gets a slot for a request again, at once or after a wait, after a try that ran nothing.
     *
     * <p>Guards against a planned stop of a target that costs callers their requests: those that
     * were on their way to it when it began to drain come back unprocessed, and while others wait
     * no retry is allowed. They wait in the queue like any other; since the queue holds to the
     * slots, no work is added.
     *
     * @param tried passed over while there is another target; a target that only shed load is
     *     better than none
     * @return fails with a {@link RefusedException}; cancel it if the caller goes away
     */
    public CompletableFuture<Slot> reacquire(SlotRequest request, Set<Endpoint> tried) {
        boolean hasOther;
        synchronized (this) {
            hasOther = mBalancer.hasTargetFor(request.kind(), tried);
        }
        QueueEntry<SlotWaiter> entry = newEntry(request, hasOther ? tried : Set.of());
        offer(entry, false);
        return withdrawnOnCancel(entry);
    }

    private static QueueEntry<SlotWaiter> newEntry(SlotRequest request, Set<Endpoint> excluded) {
        return new QueueEntry<>(
                new SlotWaiter(new CompletableFuture<>()),
                request.customer(),
                request.kind(),
                request.arrivalMillis(),
                request.deadlineMillis(),
                excluded);
    }

    private CompletableFuture<Slot> withdrawnOnCancel(QueueEntry<SlotWaiter> entry) {
        CompletableFuture<Slot> future = entry.request().slot();
        Futures.whenDone(
                future,
                (slot, failure) -> {
                    if (future.isCancelled()) {
                        withdraw(entry);
                    }
                });
        return future;
    }

    private synchronized OptionalLong rateWait(SlotRequest request) {
        return mRates.tryAcquire(request.customer(), mId, request.kind(), mClock.millis());
    }

    private void offer(QueueEntry<SlotWaiter> entry, boolean firstTry) {
        long now = mClock.millis();
        Admission admission;
        Optional<Slot> slot = Optional.empty();
        synchronized (this) {
            admission = mQueue.offer(entry, now);
            if (firstTry) {
                mEvidence.onFirstAttempt(entry.kind());
                mBudget.onFirstAttempt(entry.kind(), now);
            }
            if (admission instanceof Admission.Dispatch dispatch) {
                slot = Optional.of(take(entry, dispatch.target(), now, false));
            }
        }
        slot.ifPresent(this::give);
        if (admission instanceof Admission.Refused refused) {
            entry.request().slot().completeExceptionally(RefusedException.of(refused));
        }
    }

    /** Gets a slot for a retry if policy and budget allow one. */
    public Optional<Slot> retry(SlotRequest request, FailedAttempt failed) {
        long now = mClock.millis();
        Optional<Slot> slot = Optional.empty();
        synchronized (this) {
            if (mRetries.decide(failed, mQueue.isOverloaded(), now)
                    instanceof RetryDecision.Retry go) {
                slot = Optional.of(take(newEntry(request, Set.of()), go.target(), now, true));
            }
        }
        slot.ifPresent(ignored -> mMetrics.onAttempt(mId.name(), "retry"));
        return slot;
    }

    /** Returns how long after the first try a hedge is worth asking for; empty for never. */
    public synchronized OptionalLong hedgeDelayMillis(RequestKind kind) {
        return mHedges.delayMillis(kind);
    }

    /** Gets a slot for a hedge if policy and budget allow one. */
    public Optional<Slot> hedge(SlotRequest request, Set<Endpoint> tried) {
        long now = mClock.millis();
        Optional<Slot> slot;
        synchronized (this) {
            slot =
                    mHedges.tryStart(
                                    request.kind(),
                                    tried,
                                    request.deadlineMillis(),
                                    mQueue.isOverloaded(),
                                    now)
                            .map(target -> take(newEntry(request, Set.of()), target, now, true));
        }
        slot.ifPresent(ignored -> mMetrics.onAttempt(mId.name(), "hedge"));
        return slot;
    }

    /**
     * Takes the slot of a target that was chosen, with the name of who is at its address.
     *
     * <p>Guards against a request that names nobody, or the one before, and is run by whoever has
     * the address by then: the lock under which the target was chosen is still held.
     */
    private Slot take(QueueEntry<SlotWaiter> entry, Endpoint target, long now, boolean extra) {
        Slot slot = new Slot(entry, mInstances.get(target), now, extra);
        mEvidence.onStarted(entry.kind(), target, slot, now);
        return slot;
    }

    /**
     * Takes a new revision of the service that fits.
     *
     * <p>Guards against limits from a time when few targets were known: a VM that starts before its
     * targets would let one large answer through at a time for good.
     */
    public synchronized void onTemplate(ServiceTemplate template) {
        mQueue.setLimits(QueueLimits.forService(template));
    }

    /** Sets who tells the other VMs of work that ended; before the first request. */
    public void setObservationListener(BiConsumer<ServiceId, TargetObservation> listener) {
        mNewsListener = listener;
    }

    /** Takes what another VM's work showed of a target. */
    public synchronized void onPeerObservation(TargetObservation news) {
        mEvidence.onPeerObservation(news);
    }

    /** Returns what is new in this VM's work for the other VMs; empty if nothing is. */
    public synchronized List<TargetReport> drainReport() {
        return mEvidence.drainReport(mClock.millis());
    }

    /** Takes another VM's report, and gives the slots that it frees to those who wait. */
    public void onPeerReport(VmIdentity vm, List<TargetReport> report) {
        long now = mClock.millis();
        Handout handout;
        synchronized (this) {
            mEvidence.onPeerReport(vm.name(), report, now);
            Map<Endpoint, Integer> inFlight = new HashMap<>();
            report.forEach(work -> inFlight.put(work.target(), work.inFlight()));
            mSlots.onPeerReport(vm, inFlight, now);
            handout = handOut(mQueue.onSlotFreed(now), now);
        }
        carryOut(handout);
    }

    /** Returns the chance that a target is in a bout of failure, by the newest work. */
    public synchronized double failingProbability(Endpoint target) {
        return mEvidence.failingProbability(target, mClock.millis());
    }

    /** Observes the head of an answer. */
    public void onResponseHead(RequestKind kind, long latencyMillis) {
        mMetrics.onResponseHead(mId.name(), kind.name(), latencyMillis);
    }

    /**
     * Gives a slot back and hands it to whoever waits.
     *
     * <p>An end at a target that isn't at its address any more says nothing of the one that is.
     *
     * @param outcome what the try says of the target's health
     * @param latencyMillis from sending to the answer's head, or to the failure
     */
    public void release(Slot slot, Outcome outcome, long latencyMillis) {
        long now = mClock.millis();
        boolean answered = outcome == Outcome.SUCCESS;
        Handout handout;
        List<TargetObservation> news;
        boolean replaced;
        synchronized (this) {
            replaced = !slot.instance().equals(mInstances.get(slot.target()));
            mEvidence.onEnded(
                    slot.entry().kind(),
                    slot.target(),
                    slot,
                    slot.startedMillis(),
                    replaced ? Outcome.CANCELLED : outcome,
                    now);
            news = mEvidence.drainObservations();
            DispatchResult<SlotWaiter> step =
                    slot.extra()
                            ? mQueue.onExtraAttemptEnded(
                                    slot.entry(),
                                    slot.target(),
                                    slot.startedMillis(),
                                    answered,
                                    now)
                            : mQueue.onAttemptEnded(
                                    slot.entry(),
                                    slot.target(),
                                    slot.startedMillis(),
                                    answered,
                                    now);
            handout = handOut(step, now);
        }
        news.forEach(one -> mNewsListener.accept(mId, one));
        mMetrics.onAttempt(mId.name(), outcome.name().toLowerCase(Locale.ROOT));
        if (!replaced) {
            mOutcomes.onOutcome(
                    mId, slot.target(), slot.entry().kind().name(), outcome, latencyMillis);
        }
        carryOut(handout);
    }

    /** Takes a target's own word that it is leaving. */
    public void onDraining(Endpoint target) {
        mOutcomes.onDraining(mId, target);
    }

    /** Takes a new view of the targets, and gives the slots that it opens to those who wait. */
    public void onTargets(List<WeightedTarget> targets) {
        long now = mClock.millis();
        Handout handout;
        synchronized (this) {
            mInstances =
                    targets.stream()
                            .map(WeightedTarget::instance)
                            .collect(
                                    Collectors.toUnmodifiableMap(
                                            TargetInstance::endpoint, Function.identity()));
            mSlots.retainTargets(targets);
            mEvidence.retain(
                    targets.stream().map(WeightedTarget::endpoint).collect(Collectors.toSet()));
            mBalancer.onTargets(targets);
            handout = handOut(mQueue.onSlotFreed(now), now);
        }
        carryOut(handout);
    }

    /**
     * Forgets what work showed of targets that started again at their address.
     *
     * <p>Guards against a new start that is blamed, or trusted, for the one before it.
     */
    public synchronized void forget(Set<Endpoint> restarted) {
        mEvidence.forget(restarted);
    }

    /** Takes the members of the service's cell. */
    public synchronized void onCell(VmIdentity self, List<VmIdentity> members) {
        mSlots.onCell(self, members);
    }

    /** Takes a peer's count of its own requests in flight. */
    public synchronized void onPeerInFlight(VmIdentity observer, Endpoint target, int inFlight) {
        mSlots.onPeerInFlight(observer, target, inFlight, mClock.millis());
    }

    /** Returns this VM's requests in flight at each target. */
    public synchronized List<TargetInFlight> inFlight() {
        return new ArrayList<>(mSlots.ownReport());
    }

    /** Refuses those who waited as long as they may; called often by the control thread. */
    public void runMaintenance() {
        long now = mClock.millis();
        Handout handout;
        List<TargetObservation> news;
        synchronized (this) {
            mEvidence.expireOverdue(now);
            news = mEvidence.drainObservations();
            handout = handOut(mQueue.onSlotFreed(now), now);
        }
        news.forEach(one -> mNewsListener.accept(mId, one));
        carryOut(handout);
    }

    /** Returns how many requests wait for slots. */
    public synchronized int queueLength() {
        return mQueue.size();
    }

    private void withdraw(QueueEntry<SlotWaiter> entry) {
        synchronized (this) {
            mQueue.cancel(entry);
        }
    }

    /** What a step of the queue comes to, to be told once the lock is given back. */
    private record Handout(List<ExpiredEntry<SlotWaiter>> expired, List<Slot> slots) {}

    private Handout handOut(DispatchResult<SlotWaiter> step, long now) {
        List<Slot> slots =
                step.dispatched().stream()
                        .map(given -> take(given.entry(), given.target(), now, false))
                        .toList();
        return new Handout(step.expired(), slots);
    }

    private void carryOut(Handout handout) {
        for (ExpiredEntry<SlotWaiter> expired : handout.expired()) {
            expired.entry()
                    .request()
                    .slot()
                    .completeExceptionally(RefusedException.of(expired.refusal()));
        }
        handout.slots().forEach(this::give);
    }

    /**
     * Guards against a slot given to a caller that went away in the same moment: it would stay
     * taken for ever. The future is completed once, so who loses the race gives the slot back.
     */
    private void give(Slot slot) {
        if (!slot.entry().request().slot().complete(slot)) {
            release(slot, Outcome.CANCELLED, 0);
        }
    }
}
