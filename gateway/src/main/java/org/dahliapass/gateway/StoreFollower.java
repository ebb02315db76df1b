package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.DemandEstimator;
import org.dahliapass.decisions.routing.LeasedEntryCache;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
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
 * What this VM believes of configuration, targets and fellow VMs, by what the store said last.
 *
 * <p>While the store is away, what was last known stays in force. All state belongs to the control
 * thread; traffic threads read the published {@link #view}.
 */
public final class StoreFollower implements KernelService {
    /** The name under which the kernel holds the follower. */
    public static final String NAME = "store-follower";

    /** The platform promises entries back within about two seconds of the store's return. */
    private static final long LAPSE_GRACE_MILLIS = 2_100;

    /** The share of all entries from which entries that vanish at once are taken for an outage. */
    private static final double OUTAGE_SHARE = 0.25;

    private static final int OUTAGE_LEAST = 4;

    /** Bounds the memory that another writer's keys can take; beyond it, items are told again. */
    private static final int MOST_REFUSED_KNOWN = 1_000;

    private final int mVmsPerZone;
    private final EventLog mLog;
    private final LeasedEntryCache<TargetRegistration> mTargets =
            new LeasedEntryCache<>(LAPSE_GRACE_MILLIS);
    private final LeasedEntryCache<FleetVm> mVms = new LeasedEntryCache<>(LAPSE_GRACE_MILLIS);
    private final List<Runnable> mListeners = new ArrayList<>();

    /** The revisions of the items that were refused, so that each is told of once. */
    private final Map<String, Long> mRefused = new HashMap<>();

    private Optional<RouteTable> mRoutes = Optional.empty();
    private ControlLoop mLoop;
    private boolean mAway;

    /** While a whole read is taken, which is told of in one line: a fleet has many targets. */
    private boolean mReadsAll;

    private long mAwaySinceMillis;

    /** When overdue entries are looked for; the greatest number for never. */
    private long mDropPlannedMillis = Long.MAX_VALUE;

    private LongSupplier mNewsSince = () -> Long.MAX_VALUE;
    private volatile long mHeardMillis = Long.MIN_VALUE / 2;
    private double mDemand;

    /** The changes of targets and of VMs that the published view has. */
    private long mPublishedTargets;

    private long mPublishedVms;
    private volatile RoutingView mView;
    private volatile Consumer<RequestDigest> mQuarantineListener = digest -> {};

    /**
     * Starts with nothing known.
     *
     * @param vmsPerZone how many VMs take the callers of one availability zone at least
     */
    StoreFollower(int vmsPerZone, EventLog log) {
        mVmsPerZone = vmsPerZone;
        mView = new RoutingView(Optional.empty(), List.of(), planFor(List.of()));
        mLog = log;
    }

    /** Returns what is believed now; any thread may call this. */
    public RoutingView view() {
        return mView;
    }

    /** Returns the targets that are believed in, by instance; control thread only. */
    Map<String, TargetRegistration> targets() {
        return mTargets.entries();
    }

    /**
     * Adds what is run on the control thread after each change of the configuration or the targets;
     * before the start.
     */
    void addChangeListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Sets what tells since when this VM has heard of all changes without a gap, in milliseconds;
     * the greatest number if it hasn't. Asked on the control thread.
     */
    void setUpToDateSince(LongSupplier newsSince) {
        mNewsSince = newsSince;
    }

    /** Sets who takes requests that the fleet has quarantined; before the start of the feed. */
    void setQuarantineListener(Consumer<RequestDigest> listener) {
        mQuarantineListener = listener;
    }

    /** Returns whether the store gave no answer when last asked; control thread only. */
    boolean isStoreUnavailable() {
        return mAway;
    }

    /** Returns when the store last answered a call, in milliseconds; any thread may call this. */
    long lastResponseMillis() {
        return mHeardMillis;
    }

    /** Takes a failed call to the store from any part of this VM; control thread only. */
    void onStoreFailure(Throwable failure) {
        if (mAway) {
            return;
        }
        mAway = true;
        mAwaySinceMillis = mLoop.nowMillis();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_lost",
                line ->
                        line.put("cause", failure.getMessage())
                                .put("meanwhile", "the last known state stays in force"));
    }

    /** Takes an answered call to the store from any part of this VM; control thread only. */
    void onStoreResponse() {
        long now = mLoop.nowMillis();
        mHeardMillis = now;
        if (!mAway) {
            return;
        }
        mAway = false;
        // A store that only this VM did not reach let no entries lapse: the others told of it.
        boolean heardAll = mNewsSince.getAsLong() <= mAwaySinceMillis;
        if (!heardAll) {
            mTargets.onStoreRecovered(now);
            mVms.onStoreRecovered(now);
        }
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "store_back",
                line ->
                        line.put("away_ms", now - mAwaySinceMillis)
                                .put("heard_all_meanwhile", heardAll));
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        return CompletableFuture.completedFuture(null);
    }

    /** Takes a whole read of the store; control thread only. */
    void applySnapshot(List<StoredItem> items) {
        Set<String> seen = new HashSet<>();
        mReadsAll = true;
        for (StoredItem item : items) {
            seen.add(item.key());
            takeWritten(item);
        }
        mReadsAll = false;
        removeAbsent(seen);
        publish();
        mLog.write(
                EventLog.Kind.BELIEF,
                "store_read",
                line ->
                        line.put("targets", mTargets.entries().size())
                                .put("vms", mVms.entries().size()));
    }

    private void removeAbsent(Set<String> seen) {
        Set<String> targets = new HashSet<>(mTargets.entries().keySet());
        targets.removeIf(name -> seen.contains(RegistrationDocument.PREFIX + name));
        Set<String> vms = new HashSet<>(mVms.entries().keySet());
        vms.removeIf(name -> seen.contains(VmEntry.key(name)));
        remove(targets, vms);
    }

    /** Takes changes in order; control thread only. */
    void applyEvents(List<StoreEvent> events) {
        if (events.isEmpty()) {
            return;
        }
        Set<String> targets = new HashSet<>();
        Set<String> vms = new HashSet<>();
        for (StoreEvent event : events) {
            if (event instanceof StoreEvent.Written written) {
                targets.remove(nameUnder(RegistrationDocument.PREFIX, event.key()));
                vms.remove(nameUnder(VmEntry.PREFIX, event.key()));
                takeWritten(written.item());
            } else if (event.key().startsWith(RegistrationDocument.PREFIX)) {
                targets.add(nameUnder(RegistrationDocument.PREFIX, event.key()));
            } else if (event.key().startsWith(VmEntry.PREFIX)) {
                vms.add(nameUnder(VmEntry.PREFIX, event.key()));
            }
        }
        remove(targets, vms);
        publish();
    }

    private static String nameUnder(String prefix, String key) {
        return key.startsWith(prefix) ? key.substring(prefix.length()) : "";
    }

    /**
     * Takes one item. A configuration that can't be decoded leaves the last good one in force; an
     * entry that can't be decoded names nobody, so that nothing is sent there any more.
     *
     * <p>Guards against an item of another writer on which reading fails in a way that nobody
     * thought of: it would end the taking of all items behind it and the wait for changes with it,
     * which shows as a VM that serves by what it knew at that moment for good.
     */
    private void takeWritten(StoredItem item) {
        try {
            if (item.key().equals(ConfigurationDocument.KEY)) {
                takeConfiguration(ConfigurationDocument.decode(item.value()));
            } else if (item.key().startsWith(RegistrationDocument.PREFIX)) {
                takeTarget(RegistrationDocument.decode(item));
            } else if (item.key().startsWith(VmEntry.PREFIX)) {
                FleetVm vm = VmEntry.decode(item);
                mVms.put(vm.name(), vm);
            } else if (item.key().startsWith(QuarantineEntry.PREFIX)) {
                mQuarantineListener.accept(QuarantineEntry.decode(item));
            }
        } catch (RuntimeException failure) {
            refuse(item, failure);
        }
    }

    private void refuse(StoredItem item, RuntimeException failure) {
        mTargets.evict(nameUnder(RegistrationDocument.PREFIX, item.key()));
        mVms.evict(nameUnder(VmEntry.PREFIX, item.key()));
        Long told = mRefused.put(item.key(), item.revision());
        if (told != null && told == item.revision()) {
            return;
        }
        if (mRefused.size() > MOST_REFUSED_KNOWN) {
            mRefused.clear();
        }
        mLog.write(
                EventLog.Kind.BELIEF,
                "item_refused",
                line ->
                        line.put("key", item.key())
                                .put("revision", item.revision())
                                .put("cause", failure.toString()));
    }

    private void takeConfiguration(RoutingConfiguration configuration) {
        long known = mRoutes.map(routes -> routes.configuration().version()).orElse(-1L);
        if (configuration.version() <= known) {
            return;
        }
        mRoutes = Optional.of(new RouteTable(configuration));
        mLog.write(
                EventLog.Kind.BELIEF,
                "version_in_force",
                line ->
                        line.put("version", configuration.version())
                                .put("before", known)
                                .put("routes", configuration.routes().size()));
    }

    /**
     * Guards against an entry that an earlier start of a target wrote, and that reached the store
     * after those of the present one: it would bring back an address or a state that is over.
     */
    private void takeTarget(TargetRegistration target) {
        TargetRegistration before = mTargets.entries().get(target.instance());
        if (before != null && before.startedMillis() > target.startedMillis()) {
            mLog.write(
                    EventLog.Kind.BELIEF,
                    "older_start_ignored",
                    line ->
                            line.put("instance", target.instance())
                                    .put("started_ms", target.startedMillis())
                                    .put("known_started_ms", before.startedMillis()));
            return;
        }
        mTargets.put(target.instance(), target);
        boolean known =
                before != null
                        && before.draining() == target.draining()
                        && before.startedMillis() == target.startedMillis();
        if (known || mReadsAll) {
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
        mTargets.onExpired(targets, outage(mTargets.entries().size()), now);
        mVms.onExpired(vms, outage(mVms.entries().size()), now);
        if (targets.isEmpty() && vms.isEmpty()) {
            return;
        }
        planDrop();
        mLog.write(
                EventLog.Kind.BELIEF,
                "entries_removed",
                line ->
                        line.putList("targets", List.copyOf(targets))
                                .putList("vms", List.copyOf(vms)));
    }

    private static int outage(int entries) {
        return Math.max(OUTAGE_LEAST, (int) Math.ceil(OUTAGE_SHARE * entries));
    }

    /** Looks for overdue entries when the first of them is, however long ago it vanished. */
    private void planDrop() {
        long next =
                Math.min(
                        mTargets.nextEvictionMillis().orElse(Long.MAX_VALUE),
                        mVms.nextEvictionMillis().orElse(Long.MAX_VALUE));
        if (next >= mDropPlannedMillis) {
            return;
        }
        mDropPlannedMillis = next;
        long delayMillis = Math.max(0, next - mLoop.nowMillis());
        mLoop.schedule(Duration.ofMillis(delayMillis), this::dropOverdue);
    }

    private void dropOverdue() {
        long now = mLoop.nowMillis();
        mDropPlannedMillis = Long.MAX_VALUE;
        List<String> targets = mTargets.evictExpired(now);
        List<String> vms = mVms.evictExpired(now);
        planDrop();
        if (targets.isEmpty() && vms.isEmpty()) {
            return;
        }
        mLog.write(
                EventLog.Kind.BELIEF,
                "lapsed_entries_dropped",
                line ->
                        line.putList("targets", List.copyOf(targets))
                                .putList("vms", List.copyOf(vms)));
        publish();
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
            mListeners.forEach(Runnable::run);
        }
    }

    /**
     * Returns the plan in force, or a new one if what it follows from has changed: to make one
     * sorts all VMs, and most changes in the store are about targets.
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
