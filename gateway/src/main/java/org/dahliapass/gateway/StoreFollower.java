package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.AnswerPeriod;
import org.dahliapass.decisions.routing.DemandEstimator;
import org.dahliapass.decisions.routing.LeasedEntryCache;
import org.dahliapass.decisions.routing.RegistrationPacing;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.decisions.routing.StoreAvailability;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.platform.QuarantineEntry;
import org.dahliapass.platform.RegistrationDocument;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.VmEntry;

/**
 * The last known state of the configuration, the targets and the VMs in the store.
 *
 * <p>While the store is unavailable, the last known state stays in force. Confined to the control
 * thread; traffic threads read the published {@link #view}.
 */
public final class StoreFollower implements KernelService {
    /** The service name in the kernel. */
    public static final String NAME = "store-follower";

    /** Targets restore their entries within about two seconds after an outage of the store. */
    private static final long EXPIRY_GRACE_MILLIS = 2_100;

    /**
     * Bounds the memory for malformed items of other writers; beyond it, items are logged again.
     */
    private static final int MAX_MALFORMED_ITEMS = 1_000;

    /** The delay after which what could not be applied is applied again. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final int mVmsPerZone;
    private final RegistrationPacing mRegistrationPacing;
    private final EventLog mLog;
    private final LeasedEntryCache<TargetRegistration> mTargets =
            new LeasedEntryCache<>(EXPIRY_GRACE_MILLIS);
    private final LeasedEntryCache<FleetVm> mVms = new LeasedEntryCache<>(EXPIRY_GRACE_MILLIS);
    private final StoreAvailability mAvailability = new StoreAvailability();
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<Runnable> mPlanListeners = new ArrayList<>();

    /** The revisions of malformed items, each of which is logged once. */
    private final Map<String, Long> mMalformed = new HashMap<>();

    /** The latest change of each key whose handling threw. */
    private final Map<String, StoreEvent> mUnapplied = new LinkedHashMap<>();

    /** The listeners that threw at the latest change. */
    private final Set<Runnable> mFailedListeners = new LinkedHashSet<>();

    /** The origin of the latest update. */
    private UpdateOrigin mOrigin = UpdateOrigin.NONE;

    /** Whether the state could not be published. */
    private boolean mIsUnpublished;

    private PeriodicTask mRetry;

    private Optional<RouteTable> mRoutes = Optional.empty();
    private ControlLoop mLoop;
    private boolean mIsUnavailable;

    /** Whether a snapshot is being applied, which is logged in one line. */
    private boolean mIsApplyingSnapshot;

    private long mUnavailableSinceMillis;

    /** The time of the next eviction; {@link Long#MAX_VALUE} if none is scheduled. */
    private long mEvictionMillis = Long.MAX_VALUE;

    private volatile long mLastResponseMillis = Long.MIN_VALUE / 2;
    private double mDemand;

    /** The modification counts of targets and VMs in the published view. */
    private long mPublishedTargets;

    private long mPublishedVms;
    private volatile RoutingView mView;
    private volatile Consumer<RequestDigest> mQuarantineListener = digest -> {};
    private Consumer<Throwable> mFailureListener = failure -> {};
    private Runnable mStoreReturnListener = () -> {};

    /**
     * Creates a follower with an empty state.
     *
     * @param vmsPerZone the minimum number of VMs that serve the callers of one availability zone
     * @param registrationPacing how VMs spread the writes of their entries
     */
    StoreFollower(int vmsPerZone, RegistrationPacing registrationPacing, EventLog log) {
        mVmsPerZone = vmsPerZone;
        mRegistrationPacing = registrationPacing;
        mView = new RoutingView(Optional.empty(), List.of(), planFor(List.of()));
        mLog = log;
    }

    /** Returns the current state; any thread may call this. */
    public RoutingView view() {
        return mView;
    }

    /** Returns the known targets by instance; control thread only. */
    Map<String, TargetRegistration> targets() {
        return mTargets.entries();
    }

    /**
     * Registers a listener that runs on the control thread after each change of the configuration
     * or the targets; to be called before the start.
     */
    void addChangeListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Registers a listener that runs on the control thread after each change of the VMs or of
     * anything else that the plan depends on; to be called before the start.
     */
    void addPlanListener(Runnable listener) {
        mPlanListeners.add(listener);
    }

    /**
     * Sets the listener that runs on the control thread when the store answers this VM after a gap
     * in which entries may have expired; to be called before the start of the feed.
     */
    void setStoreReturnListener(Runnable listener) {
        mStoreReturnListener = listener;
    }

    /** Sets the listener for quarantined requests; to be called before the start of the feed. */
    void setQuarantineListener(Consumer<RequestDigest> listener) {
        mQuarantineListener = listener;
    }

    /** Sets the listener for unexpected exceptions; to be called before the start. */
    void setFailureListener(Consumer<Throwable> listener) {
        mFailureListener = listener;
    }

    /**
     * Runs a part of applying an update and reports an exception, so that the other parts and later
     * updates are applied.
     *
     * @return whether the part ended without an exception
     */
    boolean isolate(Runnable part) {
        try {
            part.run();
            return true;
        } catch (RuntimeException | Error failure) {
            mFailureListener.accept(failure);
            return false;
        }
    }

    /** Returns whether the last call to the store failed; control thread only. */
    boolean isStoreUnavailable() {
        return mIsUnavailable;
    }

    /**
     * Returns the time of the last response of the store, in milliseconds; any thread may call
     * this.
     */
    long lastResponseMillis() {
        return mLastResponseMillis;
    }

    /** Records a failed call to the store from any service of this VM; control thread only. */
    void onStoreFailure(Throwable failure) {
        mAvailability.onFailure();
        if (mIsUnavailable) {
            return;
        }
        mIsUnavailable = true;
        mUnavailableSinceMillis = mLoop.nowMillis();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_lost",
                line ->
                        line.put("cause", failure.getMessage())
                                .put("meanwhile", "the last known state stays in force"));
    }

    /** Records a successful call to the store from any service of this VM; control thread only. */
    void onStoreResponse() {
        long now = mLoop.nowMillis();
        mLastResponseMillis = now;
        boolean isReturn = onStoreAnswered(AnswerPeriod.at(now));
        if (mIsUnavailable) {
            mIsUnavailable = false;
            mLog.write(
                    EventLog.Kind.DEPENDENCY,
                    "store_back",
                    line ->
                            line.put("away_ms", now - mUnavailableSinceMillis)
                                    .put("answering_ms", answeringMillis()));
        }
        if (isReturn) {
            isolate(mStoreReturnListener);
        }
    }

    /**
     * Records a period in which the store answered this or another VM; control thread only.
     *
     * @return whether the store is known to answer since another time than before
     */
    boolean onStoreAnswered(AnswerPeriod period) {
        long answeringMillis = answeringMillis();
        if (!mAvailability.add(period)) {
            return false;
        }
        mTargets.setStoreReturn(mAvailability.latestReturnMillis());
        mVms.setStoreReturn(mAvailability.latestReturnMillis());
        scheduleEviction();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_answering",
                line ->
                        line.put("answering_ms", answeringMillis())
                                .put("answering_before_ms", answeringMillis)
                                .put("returned", mAvailability.latestReturnMillis().isPresent())
                                .put("retained_targets", mTargets.retainedCount())
                                .put("retained_vms", mVms.retainedCount()));
        return true;
    }

    /** Returns the latest period in which the store answered; control thread only. */
    Optional<AnswerPeriod> answerPeriod() {
        return mAvailability.period();
    }

    private long sinceMillis() {
        return mAvailability.period().map(AnswerPeriod::sinceMillis).orElse(mLoop.nowMillis());
    }

    /** Returns for how long the store has answered without an outage, in milliseconds. */
    private long answeringMillis() {
        return mLoop.nowMillis() - sinceMillis();
    }

    /**
     * Keeps entries for a while that the restored store lacks, because their writers have to write
     * them again; control thread only.
     */
    void onStoreRestored() {
        long now = mLoop.nowMillis();
        mTargets.onStoreRestored(now, Duration.ZERO);
        mVms.onStoreRestored(now, mRegistrationPacing.window(mVms.entries().size()));
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mRetry = new PeriodicTask(mLoop, RETRY_DELAY, this::retry);
        return CompletableFuture.completedFuture(null);
    }

    /** Replaces the state by a snapshot of the store; control thread only. */
    void applySnapshot(List<StoredItem> items, UpdateOrigin origin) {
        mOrigin = origin;
        Set<String> keys = new HashSet<>();
        List<StoreEvent> events = new ArrayList<>();
        for (StoredItem item : items) {
            keys.add(item.key());
            events.add(new StoreEvent.Written(item));
        }
        addAbsent(keys, events);
        mUnapplied.clear();
        mIsApplyingSnapshot = true;
        try {
            apply(events);
        } finally {
            mIsApplyingSnapshot = false;
        }
        publishOrRetry();
        mLog.write(
                EventLog.Kind.BELIEF,
                "store_read",
                line ->
                        mOrigin.describe(
                                line.put("targets", mTargets.entries().size())
                                        .put("vms", mVms.entries().size())));
    }

    /** Adds the removal of all entries that a snapshot doesn't contain. */
    private void addAbsent(Set<String> keys, List<StoreEvent> events) {
        for (String name : mTargets.entries().keySet()) {
            addAbsent(RegistrationDocument.PREFIX + name, keys, events);
        }
        for (String name : mVms.entries().keySet()) {
            addAbsent(VmEntry.key(name), keys, events);
        }
    }

    private static void addAbsent(String key, Set<String> keys, List<StoreEvent> events) {
        if (!keys.contains(key)) {
            events.add(new StoreEvent.Removed(key, 0));
        }
    }

    /** Applies changes in order; control thread only. */
    void applyEvents(List<StoreEvent> events, UpdateOrigin origin) {
        mOrigin = origin;
        if (events.isEmpty()) {
            return;
        }
        apply(events);
        publishOrRetry();
    }

    /**
     * Applies changes in order. One whose handling throws doesn't keep the others from being
     * applied; it is applied again unless a later one of its key replaces it.
     */
    private void apply(List<StoreEvent> events) {
        Map<String, StoreEvent> removals = new LinkedHashMap<>();
        for (StoreEvent event : events) {
            mUnapplied.remove(event.key());
            if (event instanceof StoreEvent.Written written) {
                removals.remove(event.key());
                if (!isolate(() -> applyItem(written.item()))) {
                    mUnapplied.put(event.key(), event);
                }
            } else {
                removals.put(event.key(), event);
            }
        }
        if (!isolate(() -> remove(removals.keySet()))) {
            mUnapplied.putAll(removals);
        }
    }

    private void remove(Set<String> keys) {
        Set<String> targets = new HashSet<>();
        Set<String> vms = new HashSet<>();
        for (String key : keys) {
            if (key.startsWith(RegistrationDocument.PREFIX)) {
                targets.add(nameWithPrefix(RegistrationDocument.PREFIX, key));
            } else if (key.startsWith(VmEntry.PREFIX)) {
                vms.add(nameWithPrefix(VmEntry.PREFIX, key));
            }
        }
        remove(targets, vms);
    }

    private void publishOrRetry() {
        mIsUnpublished = !isolate(this::publish);
        if (hasUnapplied()) {
            mRetry.wake();
        }
    }

    private boolean hasUnapplied() {
        return mIsUnpublished || !mUnapplied.isEmpty() || !mFailedListeners.isEmpty();
    }

    /** Applies again what could not be applied; repeats while that fails. */
    private Optional<Duration> retry() {
        apply(List.copyOf(mUnapplied.values()));
        List<Runnable> listeners = List.copyOf(mFailedListeners);
        mIsUnpublished = !isolate(this::publish);
        listeners.stream().filter(mFailedListeners::contains).forEach(this::notifyListener);
        scheduleEviction();
        return hasUnapplied() ? Optional.of(RETRY_DELAY) : Optional.empty();
    }

    /** Calls a listener, which is called again after a while if it throws. */
    private void notifyListener(Runnable listener) {
        if (isolate(listener)) {
            mFailedListeners.remove(listener);
        } else {
            mFailedListeners.add(listener);
        }
    }

    private static String nameWithPrefix(String prefix, String key) {
        return key.startsWith(prefix) ? key.substring(prefix.length()) : "";
    }

    /**
     * Applies one item. A malformed configuration leaves the last valid one in force; a malformed
     * entry is treated as removed, so that its target receives no requests.
     *
     * <p>Guards against an item that causes an unexpected exception: it would prevent all later
     * items from being applied and stop the watch, which leaves the VM in its last known state for
     * good.
     */
    private void applyItem(StoredItem item) {
        Runnable change;
        try {
            change = decode(item);
        } catch (RuntimeException failure) {
            rejectItem(item, failure);
            return;
        }
        change.run();
    }

    /** Returns the change that an item makes to the state. */
    private Runnable decode(StoredItem item) {
        if (item.key().equals(ConfigurationDocument.KEY)) {
            RoutingConfiguration configuration = ConfigurationDocument.decode(item.value());
            if (configuration.version() <= knownVersion()) {
                return () -> {};
            }
            RouteTable routes = new RouteTable(configuration);
            return () -> applyRoutes(routes);
        }
        if (item.key().startsWith(RegistrationDocument.PREFIX)) {
            TargetRegistration target = RegistrationDocument.decode(item);
            return () -> applyTarget(target);
        }
        if (item.key().startsWith(VmEntry.PREFIX)) {
            FleetVm vm = VmEntry.decode(item);
            return () -> mVms.put(vm.name(), vm);
        }
        if (item.key().startsWith(QuarantineEntry.PREFIX)) {
            RequestDigest digest = QuarantineEntry.decode(item);
            return () -> mQuarantineListener.accept(digest);
        }
        return () -> {};
    }

    private long knownVersion() {
        return mRoutes.map(routes -> routes.configuration().version()).orElse(-1L);
    }

    private void rejectItem(StoredItem item, RuntimeException failure) {
        mTargets.evict(nameWithPrefix(RegistrationDocument.PREFIX, item.key()));
        mVms.evict(nameWithPrefix(VmEntry.PREFIX, item.key()));
        Long loggedRevision = mMalformed.put(item.key(), item.revision());
        if (loggedRevision != null && loggedRevision == item.revision()) {
            return;
        }
        if (mMalformed.size() > MAX_MALFORMED_ITEMS) {
            mMalformed.clear();
        }
        mLog.write(
                EventLog.Kind.BELIEF,
                "item_refused",
                line ->
                        line.put("key", item.key())
                                .put("revision", item.revision())
                                .put("cause", failure.toString()));
    }

    private void applyRoutes(RouteTable routes) {
        long knownVersion = knownVersion();
        RoutingConfiguration configuration = routes.configuration();
        mRoutes = Optional.of(routes);
        mLog.write(
                EventLog.Kind.BELIEF,
                "version_in_force",
                line ->
                        mOrigin.describe(
                                line.put("version", configuration.version())
                                        .put("before", knownVersion)
                                        .put("routes", configuration.routes().size())));
    }

    /**
     * Applies the registration of a target unless it is older than the known one.
     *
     * <p>Guards against a delayed write of an earlier start of a target, which would restore an
     * outdated address or state.
     */
    private void applyTarget(TargetRegistration target) {
        TargetRegistration previous = mTargets.entries().get(target.instance());
        if (previous != null && previous.startedMillis() > target.startedMillis()) {
            mLog.write(
                    EventLog.Kind.BELIEF,
                    "older_start_ignored",
                    line ->
                            line.put("instance", target.instance())
                                    .put("started_ms", target.startedMillis())
                                    .put("known_started_ms", previous.startedMillis()));
            return;
        }
        mTargets.put(target.instance(), target);
        boolean isUnchanged =
                previous != null
                        && previous.draining() == target.draining()
                        && previous.startedMillis() == target.startedMillis();
        if (isUnchanged || mIsApplyingSnapshot) {
            return;
        }
        mLog.write(
                EventLog.Kind.BELIEF,
                target.draining() ? "target_leaving" : "target_registered",
                line ->
                        line.put("instance", target.instance())
                                .put("service", target.service())
                                .put("target", target.endpoint().toString()));
    }

    private void remove(Set<String> targets, Set<String> vms) {
        long now = mLoop.nowMillis();
        mTargets.onRemoved(targets, now);
        mVms.onRemoved(vms, now);
        if (targets.isEmpty() && vms.isEmpty()) {
            return;
        }
        scheduleEviction();
        mLog.write(
                EventLog.Kind.BELIEF,
                "entries_removed",
                line ->
                        mOrigin.describe(
                                line.putList("targets", List.copyOf(targets))
                                        .putList("vms", List.copyOf(vms))
                                        .put("store_answering_ms", answeringMillis())
                                        .put("retained_targets", mTargets.retainedCount())
                                        .put("retained_vms", mVms.retainedCount())));
    }

    /** Schedules the next eviction. */
    private void scheduleEviction() {
        long next =
                Math.min(
                        mTargets.nextEvictionMillis().orElse(Long.MAX_VALUE),
                        mVms.nextEvictionMillis().orElse(Long.MAX_VALUE));
        if (next >= mEvictionMillis) {
            return;
        }
        mEvictionMillis = next;
        long now = mLoop.nowMillis();
        long delayMillis = Math.max(next, now) - now;
        mLoop.schedule(Duration.ofMillis(delayMillis), this::evictExpired);
    }

    private void evictExpired() {
        mEvictionMillis = Long.MAX_VALUE;
        if (!isolate(this::evictAndPublish)) {
            mRetry.wake();
        }
    }

    private void evictAndPublish() {
        long now = mLoop.nowMillis();
        List<String> targets = mTargets.evictExpired(now);
        List<String> vms = mVms.evictExpired(now);
        scheduleEviction();
        if (targets.isEmpty() && vms.isEmpty()) {
            return;
        }
        publishOrRetry();
        mLog.write(
                EventLog.Kind.BELIEF,
                "lapsed_entries_dropped",
                line ->
                        line.putList("targets", List.copyOf(targets))
                                .putList("vms", List.copyOf(vms)));
    }

    private void publish() {
        boolean servicesChanged =
                mTargets.modificationCount() != mPublishedTargets
                        || !mRoutes.equals(mView.routes());
        if (!servicesChanged && mVms.modificationCount() == mPublishedVms) {
            return;
        }
        List<FleetVm> vms = List.copyOf(mVms.entries().values());
        mView = new RoutingView(mRoutes, vms, plan(vms));
        mPublishedVms = mVms.modificationCount();
        mPublishedTargets = mTargets.modificationCount();
        if (servicesChanged) {
            mListeners.forEach(this::notifyListener);
        }
        mPlanListeners.forEach(this::notifyListener);
    }

    /**
     * Returns the current plan, or a new one if its inputs changed. A new plan sorts all VMs, and
     * most changes in the store concern targets.
     */
    private AddressPlan plan(List<FleetVm> vms) {
        double demand =
                mRoutes.map(
                                routes ->
                                        DemandEstimator.requestsPerSecond(
                                                routes.configuration(),
                                                mTargets.entries().values()))
                        .orElse(0.0);
        if (demand == mDemand && mVms.modificationCount() == mPublishedVms) {
            return mView.plan();
        }
        mDemand = demand;
        AddressPlan plan = planFor(vms);
        mLog.write(
                EventLog.Kind.BELIEF,
                "callers_planned",
                line ->
                        line.put("requests_per_second", Math.round(mDemand))
                                .put("vms", vms.size())
                                .put("taking_callers", plan.advertisedVms().size()));
        return plan;
    }

    private AddressPlan planFor(List<FleetVm> vms) {
        return new AddressPlan(vms, mDemand, mVmsPerZone);
    }
}
