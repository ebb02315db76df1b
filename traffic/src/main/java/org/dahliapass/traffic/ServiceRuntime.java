package org.dahliapass.traffic;

import java.time.Clock;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dahliapass.decisions.acceptance.AcceptanceChange;
import org.dahliapass.decisions.acceptance.AcceptanceModel;
import org.dahliapass.decisions.acceptance.FreeCapacity;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.acceptance.Rejection;
import org.dahliapass.decisions.acceptance.RejectionCause;
import org.dahliapass.decisions.admission.CustomerCount;
import org.dahliapass.decisions.admission.CustomerPriorities;
import org.dahliapass.decisions.availability.AvailabilityRecord;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.availability.TargetAvailability;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitChange;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.limits.LimitingVms;
import org.dahliapass.decisions.limits.TargetLimitSharing;
import org.dahliapass.decisions.limits.TargetLimits;
import org.dahliapass.decisions.traffic.Admission;
import org.dahliapass.decisions.traffic.AdmissionQueue;
import org.dahliapass.decisions.traffic.ChargeReason;
import org.dahliapass.decisions.traffic.DispatchResult;
import org.dahliapass.decisions.traffic.ExpiredEntry;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.Hedge;
import org.dahliapass.decisions.traffic.HedgePolicy;
import org.dahliapass.decisions.traffic.LoadBalancer;
import org.dahliapass.decisions.traffic.PassiveFailureDetector;
import org.dahliapass.decisions.traffic.QueueEntry;
import org.dahliapass.decisions.traffic.QueueLimits;
import org.dahliapass.decisions.traffic.RateLimiter;
import org.dahliapass.decisions.traffic.RefusalReason;
import org.dahliapass.decisions.traffic.RetryBudget;
import org.dahliapass.decisions.traffic.RetryCharge;
import org.dahliapass.decisions.traffic.RetryDecision;
import org.dahliapass.decisions.traffic.RetryPolicy;
import org.dahliapass.decisions.traffic.RunningAttempt;
import org.dahliapass.decisions.traffic.ServiceTimeEstimator;
import org.dahliapass.decisions.traffic.SlotTable;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.decisions.traffic.TrafficPolicy;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.VmIdentity;

/**
 * The traffic decisions of one service on this VM, guarded by one lock that the traffic threads and
 * the control thread share. Callbacks run without the lock.
 */
public final class ServiceRuntime {
    private static final long REPORT_HALF_LIFE_MILLIS = 2000;
    private static final int RATE_BUCKETS = 10_000;

    /** The customers that a summary names. */
    private static final int SUMMARY_CUSTOMERS = 3;

    private final ServiceId mId;
    private final TrafficPolicy mPolicy;
    private final Clock mClock;
    private final TargetEventListener mEventListener;
    private final EntryMetrics mMetrics;
    private final SlotTable mSlots;
    private final ServiceTimeEstimator mTimes;
    private final PassiveFailureDetector mFailureDetector;
    private final TargetLimits mLimits;
    private final TargetAvailability mAvailability;
    private final AcceptanceModel mAcceptance;
    private final FreeCapacity<Slot> mFreeCapacity = new FreeCapacity<>();
    private final LoadBalancer mBalancer;
    private final RetryBudget mBudget;
    private final AdmissionQueue<SlotWaiter> mQueue;
    private final RetryPolicy mRetryPolicy;
    private final HedgePolicy mHedgePolicy;
    private final TargetReports mReports;
    private volatile BiConsumer<ServiceId, TargetObservation> mObservationListener =
            (service, observation) -> {};

    /** The target at each address, by the latest view of the targets. */
    private Map<Endpoint, TargetInstance> mInstances = Map.of();

    private final Map<RefusalReason, Integer> mRefusals = new EnumMap<>(RefusalReason.class);
    private final RateLimiter mRateLimiter = new RateLimiter(RATE_BUCKETS);

    /**
     * Creates a runtime without targets.
     *
     * @param zone this VM's availability zone
     */
    public ServiceRuntime(
            String zone,
            ServiceTemplate template,
            Clock clock,
            RandomGenerator random,
            TargetEventListener eventListener,
            EntryMetrics metrics) {
        this(
                zone,
                template,
                clock,
                random,
                eventListener,
                metrics,
                TargetLimitSharing.FEW_VMS,
                new TargetAvailability(random),
                TrafficPolicy.BASIC);
    }

    /**
     * Creates a runtime without targets.
     *
     * @param zone this VM's availability zone
     * @param sharing how the VMs divide the request limits of targets
     * @param availability what the VM knows of the availability of targets, which outlives this
     *     runtime
     * @param policy which mechanisms the decisions use
     */
    public ServiceRuntime(
            String zone,
            ServiceTemplate template,
            Clock clock,
            RandomGenerator random,
            TargetEventListener eventListener,
            EntryMetrics metrics,
            TargetLimitSharing sharing,
            TargetAvailability availability,
            TrafficPolicy policy) {
        mPolicy = policy;
        mBudget = new RetryBudget(policy.hedgesByAge());
        mId = template.id();
        mClock = clock;
        mEventListener = eventListener;
        mMetrics = metrics;
        mSlots = new SlotTable(template.slotsPerTarget(), REPORT_HALF_LIFE_MILLIS);
        mTimes = new ServiceTimeEstimator(policy);
        mFailureDetector = new PassiveFailureDetector(mTimes, mSlots);
        mLimits = new TargetLimits(sharing, random);
        mAvailability = availability;
        mAcceptance = new AcceptanceModel(random);
        mBalancer =
                new LoadBalancer(
                        zone,
                        template.floorShare(),
                        mSlots,
                        LoadBalancer.bulkyShare(template.kinds()),
                        random,
                        mFailureDetector,
                        mLimits,
                        mAvailability,
                        mPolicy,
                        mAcceptance,
                        mFreeCapacity);
        mQueue =
                new AdmissionQueue<>(
                        QueueLimits.forService(template),
                        mSlots,
                        mBalancer,
                        mTimes,
                        random,
                        policy);
        mRetryPolicy = new RetryPolicy(mBudget, mBalancer, mTimes, policy);
        mHedgePolicy = new HedgePolicy(mBudget, mBalancer, mTimes, mFailureDetector, policy);
        mReports =
                new TargetReports(
                        mFailureDetector, mLimits, mAcceptance, mBalancer, mSlots, policy);
    }

    /** Returns the service's id. */
    public ServiceId id() {
        return mId;
    }

    /** Returns which mechanisms the decisions use. */
    public TrafficPolicy policy() {
        return mPolicy;
    }

    /**
     * Acquires a slot for a request's first attempt, at once or after queueing.
     *
     * @return fails with a {@link RefusedException}; cancel it if the caller disconnects
     */
    public CompletableFuture<Slot> acquire(SlotRequest request, Set<Endpoint> excluded) {
        QueueEntry<SlotWaiter> entry = newEntry(request, excluded);
        OptionalLong delay = rateLimitDelay(request);
        if (delay.isPresent()) {
            return CompletableFuture.failedFuture(RefusedException.rateLimited(delay.getAsLong()));
        }
        return offerOrWithdraw(entry, true);
    }

    /**
     * Acquires a slot for another attempt, at once or after queueing, if no earlier attempt ran the
     * request.
     *
     * <p>A draining target returns the requests sent to it unprocessed, while retries aren't
     * allowed if others are queued. These requests are queued again, which adds no load, since the
     * queue respects the slots.
     *
     * @param tried targets that are avoided if there is another one; a target that shed load is
     *     used if there is none
     * @return fails with a {@link RefusedException}; cancel it if the caller disconnects
     */
    public CompletableFuture<Slot> reacquire(SlotRequest request, Set<Endpoint> tried) {
        QueueEntry<SlotWaiter> entry;
        synchronized (this) {
            boolean hasOther =
                    mBalancer.hasTargetFor(request.kind(), tried, mClock.millis())
                            && mBalancer.restMillis(request.kind(), tried, mClock.millis()) == 0;
            entry = newLaterEntry(request, hasOther ? tried : Set.of());
        }
        return offerOrWithdraw(entry, false);
    }

    /**
     * Returns the entry of a later attempt. A read may wait as long as there is time for a
     * response, since its first attempt is lost if it is refused.
     */
    private QueueEntry<SlotWaiter> newLaterEntry(SlotRequest request, Set<Endpoint> excluded) {
        QueueEntry<SlotWaiter> entry = newEntry(request, excluded);
        return mPolicy.learnsResponseTimes() && request.kind().idempotency().isRepeatable()
                ? entry.withLatestStart(
                        request.deadlineMillis() - mTimes.meanMillis(request.kind()))
                : entry;
    }

    /** Offers an entry to the queue, which an unexpected exception leaves without it. */
    private CompletableFuture<Slot> offerOrWithdraw(
            QueueEntry<SlotWaiter> entry, boolean firstTry) {
        CompletableFuture<Slot> future = withdrawOnCancel(entry);
        try {
            offer(entry, firstTry);
        } catch (RuntimeException | Error failure) {
            future.cancel(false);
            throw failure;
        }
        return future;
    }

    private static QueueEntry<SlotWaiter> newEntry(SlotRequest request, Set<Endpoint> excluded) {
        return new QueueEntry<>(
                new SlotWaiter(new CompletableFuture<>()),
                request.customer(),
                request.kind(),
                request.arrivalMillis(),
                request.deadlineMillis(),
                excluded,
                request.priority());
    }

    private CompletableFuture<Slot> withdrawOnCancel(QueueEntry<SlotWaiter> entry) {
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

    private synchronized OptionalLong rateLimitDelay(SlotRequest request) {
        return mRateLimiter.tryAcquire(request.customer(), mId, request.kind(), mClock.millis());
    }

    private void offer(QueueEntry<SlotWaiter> entry, boolean firstTry) {
        long now = mClock.millis();
        Admission admission;
        Optional<Slot> slot = Optional.empty();
        List<ExpiredEntry<SlotWaiter>> displaced;
        synchronized (this) {
            admission = mQueue.offer(entry, now);
            displaced = mQueue.drainDisplaced();
            displaced.forEach(each -> countRefusal(each.refusal()));
            if (firstTry) {
                mFailureDetector.onFirstAttempt(entry.kind());
                mBudget.onFirstAttempt(entry.kind(), now);
            }
            if (admission instanceof Admission.Refused refused) {
                countRefusal(refused);
            } else if (admission instanceof Admission.Dispatch dispatch) {
                slot = Optional.of(createSlot(entry, dispatch.target(), now, false));
            }
        }
        slot.ifPresent(this::completeOrRelease);
        if (admission instanceof Admission.Refused refused) {
            entry.request().slot().completeExceptionally(RefusedException.of(refused));
        }
        mMetrics.onDisplaced(displaced.size());
        completeRequests(new PendingCompletions(displaced, List.of()));
    }

    /** Acquires a slot for a retry if the policy and the budget allow one. */
    public Optional<Slot> retry(SlotRequest request, FailedAttempt failed, ChargeListener charges) {
        long now = mClock.millis();
        Optional<Slot> slot = Optional.empty();
        synchronized (this) {
            if (mRetryPolicy.decide(failed, mQueue.isOverloaded(), now)
                    instanceof RetryDecision.Retry decision) {
                holdCharge(ChargeReason.RETRY, charges, now);
                slot =
                        Optional.of(
                                createSlot(
                                        newEntry(request, Set.of()), decision.target(), now, true));
            }
        }
        slot.ifPresent(ignored -> mMetrics.onAttempt(mId.name(), "retry"));
        return slot;
    }

    /**
     * Takes a retry from the budget for a request that another VM serves, if the policy allows one.
     */
    public synchronized boolean tryTakeRetry(FailedAttempt failed, ChargeListener charges) {
        long now = mClock.millis();
        if (!mRetryPolicy.tryTake(failed, mQueue.isOverloaded(), now)) {
            return false;
        }
        holdCharge(ChargeReason.PASSED_ON, charges, now);
        return true;
    }

    /** Holds the latest charge for the request that it is for; call it under the lock. */
    private void holdCharge(ChargeReason reason, ChargeListener charges, long now) {
        charges.onCharged(mBudget.holdLatest(reason, now));
        mMetrics.onRetryCharge(mId.name(), "charged");
    }

    /** Records that the attempt of a charge is sent. */
    public synchronized void onChargeSent(RetryCharge charge) {
        mBudget.onHeldSent(mClock.millis());
        mMetrics.onRetryCharge(mId.name(), "sent");
    }

    /** Records that the attempt of a charge is not sent. */
    public synchronized void onChargeReturned(RetryCharge charge) {
        mBudget.releaseHeld();
        mMetrics.onRetryCharge(mId.name(), "returned");
    }

    /** Records that a request is sent once more without a charge. */
    public void onUnchargedAttempt() {
        mMetrics.onRetryCharge(mId.name(), "missing");
    }

    /**
     * Queues a request again for a retry that found no free slot, if the policy and the budget
     * allow it.
     *
     * @return the slot as {@link #reacquire} returns it; empty if the request must not be queued
     */
    public Optional<CompletableFuture<Slot>> requeue(
            SlotRequest request, FailedAttempt failed, ChargeListener charges) {
        long now = mClock.millis();
        synchronized (this) {
            if (!hasUntriedTarget(failed, now) || !mRetryPolicy.tryTakeQueued(failed, now)) {
                return Optional.empty();
            }
            holdCharge(ChargeReason.QUEUED_RETRY, charges, now);
        }
        mMetrics.onAttempt(mId.name(), "retry");
        return Optional.of(reacquire(request, failed.tried()));
    }

    /**
     * Queues a request again after a 421, if there is another target and the budget allows it.
     *
     * @return the slot as {@link #reacquire} returns it; empty if the request must not be queued
     */
    public Optional<CompletableFuture<Slot>> requeueAfterReplaced(
            SlotRequest request, FailedAttempt failed, ChargeListener charges) {
        long now = mClock.millis();
        synchronized (this) {
            if (!hasUntriedTarget(failed, now) || !mRetryPolicy.tryTakeAfterReplaced(failed, now)) {
                return Optional.empty();
            }
            holdCharge(ChargeReason.REPLACED_TARGET, charges, now);
        }
        mMetrics.onAttempt(mId.name(), "retry");
        return Optional.of(reacquire(request, failed.tried()));
    }

    private boolean hasUntriedTarget(FailedAttempt failed, long nowMillis) {
        return mBalancer.hasTargetFor(failed.kind(), failed.tried(), nowMillis);
    }

    /** Returns the delay after the first attempt at which to request a hedge; empty for never. */
    public synchronized OptionalLong hedgeDelayMillis(RequestKind kind) {
        return mHedgePolicy.delayMillis(kind);
    }

    /**
     * Takes an attempt from the budget for a request whose only attempt is probably lost and is to
     * be aborted.
     *
     * @param running the slot of the only attempt that has no response yet
     * @param targetsUsed the targets that may have run the request, including the running attempt's
     * @return whether the attempt is to be aborted and another slot to be reacquired
     */
    public boolean tryReplaceLost(
            SlotRequest request, Slot running, int targetsUsed, ChargeListener charges) {
        long now = mClock.millis();
        boolean isReplaced;
        synchronized (this) {
            isReplaced =
                    hasRoomForLater(request, now)
                            && mHedgePolicy.tryReplace(
                                    request.kind(),
                                    runningAttempt(running, targetsUsed),
                                    request.deadlineMillis(),
                                    mQueue.isOverloaded(),
                                    now);
            if (isReplaced) {
                holdCharge(ChargeReason.LOST_ATTEMPT, charges, now);
            }
        }
        if (isReplaced) {
            mMetrics.onAttempt(mId.name(), "replaced");
        }
        return isReplaced;
    }

    /** Guards against a request that loses its only attempt and then finds the queue full. */
    private boolean hasRoomForLater(SlotRequest request, long now) {
        return !mPolicy.learnsResponseTimes()
                || mQueue.hasRoomFor(newLaterEntry(request, Set.of()), now);
    }

    private static RunningAttempt runningAttempt(Slot running, int targetsUsed) {
        return new RunningAttempt(
                running,
                running.target(),
                running.startedMillis(),
                running.entry().arrivedMillis(),
                running.lossProbability(),
                targetsUsed);
    }

    /**
     * Acquires a slot for a hedge if the policy and the budget allow one.
     *
     * @param running the slot of the only attempt that has no response yet
     * @param tried the targets of all attempts so far
     * @param targetsUsed the targets that may have run the request, including the running attempt's
     */
    public Optional<Slot> hedge(
            SlotRequest request,
            Slot running,
            Set<Endpoint> tried,
            int targetsUsed,
            ChargeListener charges) {
        long now = mClock.millis();
        RunningAttempt attempt = runningAttempt(running, targetsUsed);
        Optional<Hedge> hedge;
        Optional<Slot> slot;
        synchronized (this) {
            hedge =
                    mHedgePolicy.tryStart(
                            request.kind(),
                            attempt,
                            tried,
                            request.deadlineMillis(),
                            mQueue.isOverloaded(),
                            now);
            if (hedge.isPresent()) {
                holdCharge(ChargeReason.HEDGE, charges, now);
            }
            slot =
                    hedge.map(
                            started ->
                                    createSlot(
                                            newEntry(request, Set.of()),
                                            started.target(),
                                            now,
                                            true));
        }
        hedge.ifPresent(
                started -> {
                    mMetrics.onAttempt(mId.name(), "hedge");
                    mMetrics.onHedge(started.reason().label());
                });
        return slot;
    }

    /**
     * Creates the slot at a selected target, with the target instance at its address.
     *
     * <p>Call it under the lock that selected the target, so that a request isn't addressed to an
     * instance that has been replaced.
     */
    private Slot createSlot(
            QueueEntry<SlotWaiter> entry, Endpoint target, long now, boolean extra) {
        double lossProbability = mFailureDetector.lossProbability(target, now);
        Slot slot = new Slot(entry, mInstances.get(target), now, extra, lossProbability);
        mFailureDetector.onStarted(entry.kind(), target, slot, now);
        if (mPolicy.learnsFreeCapacity()) {
            mFreeCapacity.onStarted(target, slot);
        }
        if (extra) {
            mQueue.onExtraAttemptStarted(entry);
        } else {
            mMetrics.onQueueWait(
                    mPolicy.admissionOrder().level(entry.priority()), now - entry.arrivedMillis());
        }
        return slot;
    }

    /**
     * Applies a new revision of the service.
     *
     * <p>Updates the slots and the queue limits, since those computed before the targets were known
     * may be too low.
     */
    public synchronized void onTemplate(ServiceTemplate template) {
        mSlots.setSlotsPerTarget(template.slotsPerTarget());
        mQueue.setLimits(QueueLimits.forService(template));
    }

    /** Sets this VM's retries and hedges that are allowed beside the share of first attempts. */
    public synchronized void setRetryAllowance(DoubleSupplier allowance) {
        mBudget.setAllowance(allowance);
    }

    /**
     * Sets the listener that reports observations to the other VMs; call it before the first
     * request.
     */
    public void setObservationListener(BiConsumer<ServiceId, TargetObservation> listener) {
        mObservationListener = listener;
    }

    /** Records an observation reported by another VM. */
    public synchronized void onPeerObservation(TargetObservation observation) {
        mFailureDetector.onPeerObservation(observation);
    }

    /** Returns the changes since the last report, for the other VMs; empty if there are none. */
    public synchronized List<TargetReport> drainReport() {
        return mReports.drain(mClock.millis());
    }

    /** Records another VM's report and dispatches queued requests to the slots that it frees. */
    public void onPeerReport(VmIdentity vm, List<TargetReport> report) {
        long now = mClock.millis();
        PendingCompletions completions;
        Map<Endpoint, LimitChange> changes;
        synchronized (this) {
            changes = mReports.apply(vm, report, now);
            completions = prepareCompletions(mQueue.onSlotFreed(now), now);
        }
        try {
            changes.forEach(
                    (target, change) ->
                            mEventListener.onLimitChanged(mId, target, change, vm.name()));
        } finally {
            completeRequests(completions);
        }
    }

    /**
     * Returns this VM's requests of the customers under contention, for the other VMs; empty if
     * there are none.
     */
    public synchronized List<CustomerCount> customerReport() {
        boolean isReported = mPolicy.customerSharing().isReported() || mPolicy.yieldsToOtherVms();
        return isReported ? mQueue.customerUse().report(mClock.millis()) : List.of();
    }

    /** Records another VM's requests of the customers under contention. */
    public void onPeerCustomerReport(String vm, List<CustomerCount> counts) {
        mMetrics.onCustomerReport();
        synchronized (this) {
            mQueue.onPeerCustomers(vm, counts, mClock.millis());
        }
    }

    /** Sets the priorities of customers; call it before the first request. */
    public synchronized void setCustomerPriorities(CustomerPriorities priorities) {
        mQueue.setCustomerPriorities(priorities);
    }

    /** Sets the interval at which this VM reports to the others, in milliseconds. */
    public synchronized void setReportIntervalMillis(long intervalMillis) {
        mQueue.setReportIntervalMillis(intervalMillis);
    }

    /** Returns the probability that a target is failing, by the outcomes of recent attempts. */
    public synchronized double failingProbability(Endpoint target) {
        return mFailureDetector.failingProbability(target, mClock.millis());
    }

    /**
     * Sets the source of the VMs that divide the request limits of targets, and the trials of
     * targets that shed; call it before the first request.
     */
    public synchronized void setLimitingVms(Supplier<LimitingVms> vms) {
        mLimits.setVms(vms);
        mAcceptance.setVms(() -> vms.get().vms().size());
    }

    /** Records what a response says of the request limit of its target. */
    public void onLimitStatement(Slot slot, LimitStatement statement) {
        if (!statement.equals(LimitStatement.UNLIMITED)) {
            mMetrics.onLimitStated(mId.name());
        }
        Optional<LimitChange> change;
        synchronized (this) {
            change =
                    slot.instance().equals(mInstances.get(slot.target()))
                            ? mLimits.onResponse(
                                    slot.target(), statement, slot.startedMillis(), mClock.millis())
                            : Optional.empty();
        }
        change.ifPresent(found -> mEventListener.onLimitChanged(mId, slot.target(), found, ""));
    }

    /** Records what a response says of the availability of its target. */
    public void onAvailabilityStatement(Slot slot, AvailabilityStatement statement) {
        if (statement.isLeaving()) {
            mMetrics.onTargetStatement(mId.name(), "leaving");
        }
        if (!statement.malformed().isEmpty()) {
            mMetrics.onTargetStatement(mId.name(), "malformed");
        }
        if (mAvailability.onStatement(
                slot.instance().incarnation(), statement, slot.startedMillis(), mClock.millis())) {
            mEventListener.onLeavingStated(mId, slot.instance(), "");
        }
        statement
                .restMillis()
                .ifPresent(
                        restMillis -> {
                            mMetrics.onTargetStatement(mId.name(), "rest");
                            mEventListener.onRestStated(mId, slot.instance(), restMillis);
                        });
    }

    /** Returns whether targets that another instance has replaced are excluded. */
    public boolean tracksReplacedTargets() {
        return mAvailability.replaced().isEnabled();
    }

    /** Records that another instance responded at the address of a target. */
    public void onReplaced(Slot slot) {
        Set<String> registered = new HashSet<>();
        synchronized (this) {
            mInstances.values().forEach(target -> registered.add(target.incarnation()));
        }
        boolean isNew =
                mAvailability
                        .replaced()
                        .onMisdirected(
                                slot.instance().incarnation(),
                                slot.startedMillis(),
                                registered,
                                mClock.millis());
        if (isNew) {
            mMetrics.onReplacedTarget();
            mEventListener.onReplaced(mId, slot.instance(), "");
        }
    }

    /** Records what a response says of the load of its target. */
    public synchronized void onLoadStatement(Slot slot, LoadStatement statement) {
        if (mPolicy.learnsFreeCapacity() && slot.instance().equals(mInstances.get(slot.target()))) {
            mFreeCapacity.onStatement(slot.target(), statement, mClock.millis());
        }
    }

    /**
     * Records that a target rejected a request without executing it; call it before the release of
     * the slot, after what the response says of limit and availability.
     *
     * @param load what the response says of the target's load; empty if it says nothing
     */
    public void onRejected(Slot slot, Optional<LoadStatement> load) {
        long now = mClock.millis();
        Endpoint target = slot.target();
        RejectionCause cause;
        synchronized (this) {
            cause = rejection(slot, load, now).cause();
            if (mPolicy.learnsAcceptance() && slot.instance().equals(mInstances.get(target))) {
                switch (cause) {
                    case SHEDDING -> mAcceptance.onShed(target, now);
                    case FULL -> mAcceptance.onFull(target, now);
                    case LIMITED, RESTING, FAILING -> {}
                }
            }
        }
        mMetrics.onRejection(cause.label());
    }

    private Rejection rejection(Slot slot, Optional<LoadStatement> load, long now) {
        Endpoint target = slot.target();
        AvailabilityRecord known = mAvailability.of(slot.instance().incarnation());
        return new Rejection(
                known.isLeaving() || known.restMillis(now) > 0,
                mLimits.isLimited(target),
                mFailureDetector.failingProbability(target, now),
                load,
                mSlots.ownInFlight(target) - 1 + mSlots.peersInFlight(target, now),
                mSlots.slotsPerTarget());
    }

    /**
     * Returns when a request may be sent again because all targets for it rest, in milliseconds
     * from now; 0 if they don't.
     */
    public synchronized long retryAfterRestMillis(RequestKind kind) {
        return mQueue.retryAfterRestMillis(kind, mClock.millis());
    }

    /**
     * Returns whether a request may still be written to the target of its slot, by what the target
     * has said since the slot was granted.
     */
    public boolean mayWrite(Slot slot) {
        String incarnation = slot.instance().incarnation();
        AvailabilityRecord known = mAvailability.of(incarnation);
        long now = mClock.millis();
        return !known.isLeaving()
                && known.restMillis(now) == 0
                && !mAvailability.replaced().isExcluded(incarnation, now);
    }

    /** Returns whether the target of a slot has said that it is leaving. */
    public boolean isLeaving(Slot slot) {
        return mAvailability.of(slot.instance().incarnation()).isLeaving();
    }

    /**
     * Returns the remaining times of the rests that targets lately asked this VM for, in
     * milliseconds, for the other VMs.
     *
     * @param reportIntervalMillis the interval at which the other VMs are told, in milliseconds
     */
    public synchronized Map<Endpoint, Long> recentRests(long reportIntervalMillis) {
        long now = mClock.millis();
        List<String> resting = mAvailability.recentlyResting(reportIntervalMillis, now);
        if (resting.isEmpty()) {
            return Map.of();
        }
        Map<Endpoint, Long> rests = new HashMap<>();
        for (TargetInstance target : mInstances.values()) {
            if (resting.contains(target.incarnation())) {
                rests.put(
                        target.endpoint(), mAvailability.of(target.incarnation()).restMillis(now));
            }
        }
        return rests;
    }

    /**
     * Records that a target has asked another VM for a rest.
     *
     * @param restMillis the remaining time of the rest, in milliseconds
     */
    public synchronized void onPeerRest(Endpoint target, long restMillis) {
        mFailureDetector.onPeerRest(target, restMillis, mClock.millis());
    }

    /** Records that a request is written to a target; returns what is known of the target. */
    public AvailabilityRecord onWritten(Slot slot) {
        AvailabilityRecord known = mAvailability.of(slot.instance().incarnation());
        if (known.isLeaving()) {
            mMetrics.onAttemptAgainstStatement(mId.name(), "leaving");
        }
        if (known.restMillis(mClock.millis()) > 0) {
            mMetrics.onAttemptAgainstStatement(mId.name(), "rest");
        }
        return known;
    }

    /** Records the time to the head of a response, in milliseconds. */
    public void onResponseHead(RequestKind kind, long latencyMillis) {
        mMetrics.onResponseHead(mId.name(), kind.name(), latencyMillis);
    }

    /**
     * Releases a slot and dispatches queued requests.
     *
     * <p>The outcome doesn't count for a target that has been replaced at its address since.
     *
     * @param outcome the outcome for the target's health
     * @param latencyMillis the time from sending to the head of the response, or to the failure, in
     *     milliseconds
     */
    public void release(Slot slot, Outcome outcome, long latencyMillis) {
        long now = mClock.millis();
        boolean answered = outcome == Outcome.SUCCESS;
        PendingCompletions completions;
        List<TargetObservation> observations;
        boolean replaced;
        Outcome observed;
        synchronized (this) {
            replaced = !slot.instance().equals(mInstances.get(slot.target()));
            observed =
                    mFailureDetector.observedOutcome(
                            slot.entry().kind(), outcome, now - slot.startedMillis());
            mFailureDetector.onEnded(
                    slot.entry().kind(),
                    slot.target(),
                    slot,
                    slot.startedMillis(),
                    replaced ? Outcome.CANCELLED : outcome,
                    now);
            observations = mFailureDetector.drainObservations();
            mFreeCapacity.onEnded(slot.target(), slot);
            boolean accepted = outcome == Outcome.SUCCESS || outcome == Outcome.FAILURE;
            if (!replaced) {
                mAcceptance.onEnded(slot.target(), slot.startedMillis(), accepted, now);
            }
            DispatchResult<SlotWaiter> result =
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
            completions = prepareCompletions(result, now);
        }
        try {
            observations.forEach(observation -> mObservationListener.accept(mId, observation));
            mMetrics.onAttempt(mId.name(), outcome.name().toLowerCase(Locale.ROOT));
            if (!replaced) {
                mEventListener.onOutcome(
                        mId, slot.target(), slot.entry().kind().name(), observed, latencyMillis);
            }
        } finally {
            // Also after an exception: other requests wait for these slots.
            completeRequests(completions);
        }
    }

    /** Records that a target announced that it is draining. */
    public void onDraining(Endpoint target) {
        mEventListener.onDraining(mId, target);
    }

    /** Replaces the view of the targets and dispatches queued requests to new slots. */
    public void onTargets(List<WeightedTarget> targets) {
        long now = mClock.millis();
        PendingCompletions completions;
        synchronized (this) {
            mInstances =
                    targets.stream()
                            .map(WeightedTarget::instance)
                            .collect(
                                    Collectors.toUnmodifiableMap(
                                            TargetInstance::endpoint, Function.identity()));
            mSlots.retainTargets(targets);
            mFailureDetector.retain(
                    targets.stream().map(WeightedTarget::endpoint).collect(Collectors.toSet()));
            mLimits.retain(
                    targets.stream().map(WeightedTarget::endpoint).collect(Collectors.toSet()));
            mAcceptance.retain(
                    targets.stream().map(WeightedTarget::endpoint).collect(Collectors.toSet()));
            mFreeCapacity.retain(
                    targets.stream().map(WeightedTarget::endpoint).collect(Collectors.toSet()));
            mBalancer.onTargets(targets);
            completions = prepareCompletions(mQueue.onSlotFreed(now), now);
        }
        completeRequests(completions);
    }

    /** Discards the state of targets that restarted at their address. */
    public synchronized void forget(Set<Endpoint> restartedTargets) {
        mFailureDetector.forget(restartedTargets);
        mLimits.forget(restartedTargets);
        mAcceptance.forget(restartedTargets);
        mFreeCapacity.forget(restartedTargets);
    }

    /** Sets the members of the service's cell. */
    public synchronized void onCell(VmIdentity self, List<VmIdentity> members) {
        mSlots.onCell(self, members);
    }

    /** Records a peer's number of requests in flight to a target. */
    public synchronized void onPeerInFlight(VmIdentity observer, Endpoint target, int inFlight) {
        mSlots.onPeerInFlight(observer, target, inFlight, mClock.millis());
    }

    /** Returns this VM's requests in flight to each target. */
    public synchronized List<TargetInFlight> inFlight() {
        return new ArrayList<>(mSlots.ownReport());
    }

    /**
     * Refuses expired requests and reports lost attempts; called periodically by the control
     * thread.
     */
    public void runMaintenance() {
        long now = mClock.millis();
        PendingCompletions completions;
        List<TargetObservation> observations;
        List<AcceptanceChange> changes;
        int lowTargets;
        int yielded;
        double medianMillis;
        int recoveredSlots;
        synchronized (this) {
            mFailureDetector.expireOverdue(now);
            mFreeCapacity.updateLost(slot -> lossProbability(slot, now));
            recoveredSlots = mBalancer.recoveredSlots(now);
            observations = mFailureDetector.drainObservations();
            mAcceptance.evict(now);
            changes = mAcceptance.drainChanges();
            lowTargets = mAcceptance.lowTargets();
            medianMillis = mTimes.medianMillis();
            completions = prepareCompletions(mQueue.onSlotFreed(now), now);
            yielded = mQueue.drainYielded();
        }
        try {
            mMetrics.onYielded(yielded);
            if (mPolicy.learnsAcceptance()) {
                mMetrics.onAcceptanceLow(mId.name(), lowTargets);
            }
            if (mPolicy.learnsResponseTimes()) {
                mMetrics.onResponseTimeMedian(mId.name(), medianMillis);
            }
            if (mPolicy.learnsFreeCapacity()) {
                mMetrics.onSlotsRecovered(mId.name(), recoveredSlots);
            }
            changes.forEach(change -> mEventListener.onAcceptanceChanged(mId, change));
            observations.forEach(observation -> mObservationListener.accept(mId, observation));
        } finally {
            completeRequests(completions);
        }
    }

    private double lossProbability(Slot slot, long now) {
        return mHedgePolicy.lossProbability(slot.entry().kind(), runningAttempt(slot, 1), now);
    }

    /** Returns the number of queued requests. */
    public synchronized int queueLength() {
        return mQueue.size();
    }

    /** Returns what waits, and what was refused since the last call. */
    public synchronized QueueSummary drainQueueSummary() {
        Map<Integer, Integer> waiting = mQueue.sizeByLevel();
        Map<RefusalReason, Integer> refused = new EnumMap<>(RefusalReason.class);
        refused.putAll(mRefusals);
        mRefusals.clear();
        List<String> largest =
                waiting.isEmpty() && refused.isEmpty()
                        ? List.of()
                        : mQueue.customerUse().largest(SUMMARY_CUSTOMERS, mClock.millis());
        return new QueueSummary(waiting, refused, largest);
    }

    private void countRefusal(Admission.Refused refused) {
        mRefusals.merge(refused.reason(), 1, Integer::sum);
    }

    private void withdraw(QueueEntry<SlotWaiter> entry) {
        synchronized (this) {
            mQueue.cancel(entry);
        }
    }

    /** The futures to complete after the lock has been released. */
    private record PendingCompletions(List<ExpiredEntry<SlotWaiter>> expired, List<Slot> slots) {}

    private PendingCompletions prepareCompletions(DispatchResult<SlotWaiter> result, long now) {
        List<Slot> slots =
                result.dispatched().stream()
                        .map(
                                dispatched ->
                                        createSlot(
                                                dispatched.entry(),
                                                dispatched.target(),
                                                now,
                                                false))
                        .toList();
        result.expired().forEach(expired -> countRefusal(expired.refusal()));
        return new PendingCompletions(result.expired(), slots);
    }

    private void completeRequests(PendingCompletions completions) {
        for (ExpiredEntry<SlotWaiter> expired : completions.expired()) {
            expired.entry()
                    .request()
                    .slot()
                    .completeExceptionally(RefusedException.of(expired.refusal()));
        }
        completions.slots().forEach(this::completeOrRelease);
    }

    /**
     * Completes the request's future with its slot, or releases the slot if the caller disconnected
     * in the meantime.
     */
    private void completeOrRelease(Slot slot) {
        if (!slot.entry().request().slot().complete(slot)) {
            release(slot, Outcome.CANCELLED, 0);
        }
    }
}
