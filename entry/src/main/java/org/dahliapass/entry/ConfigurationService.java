package org.dahliapass.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.ConfigurationFollower;
import org.dahliapass.decisions.configuration.FollowerAction;
import org.dahliapass.decisions.configuration.FollowerCounters;
import org.dahliapass.decisions.configuration.FollowerSettings;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.RecordsRequest;
import org.dahliapass.decisions.configuration.RecordsResponse;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.TemplateParser;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Action;
import org.dahliapass.model.explain.Explanation;
import org.dahliapass.registry.ConfigurationCodec;
import org.dahliapass.registry.StoreClient;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Follows accepted configuration changes on the control thread and publishes the templates in
 * force.
 *
 * <p>Only the watchers of each zone hold a blocking read on the store's head; see {@link
 * StoreHeadWatcher}. All other VMs receive changes from members.
 */
public final class ConfigurationService implements KernelService {
    /** The name under which the service is registered with the kernel. */
    public static final String NAME = "configuration";

    private static final ComponentLog LOG = ComponentLog.of("configuration");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    private final StoreClient mStore;
    private final RandomGenerator mRandom;
    private final Readiness mReadiness;
    private final List<Runnable> mListeners = new ArrayList<>();
    private final Map<String, ActiveRevision> mActiveRevisions = new HashMap<>();
    private ControlLoop mLoop;
    private FleetService mFleet;
    private PeerLink mPeers;
    private EntryMetrics mMetrics;
    private ExplanationLog mExplanations;
    private ConfigurationFollower mFollower;
    private StoreHeadWatcher mWatch;
    private volatile RoutingTable mTable = RoutingTable.EMPTY;
    private volatile Map<ServiceId, Integer> mDirectory = Map.of();
    private volatile long mHeadNumber;

    /**
     * The revision of a template in force on this VM.
     *
     * @param number the change number
     * @param digest the digest of the template's text
     */
    record ActiveRevision(long number, String digest) {}

    ConfigurationService(StoreClient store, RandomGenerator random, Readiness readiness) {
        mStore = store;
        mRandom = random;
        mReadiness = readiness;
    }

    /** Returns the templates in force on this VM. */
    RoutingTable table() {
        return mTable;
    }

    /** Returns the number up to which all changes are known to this VM. */
    long headNumber() {
        return mHeadNumber;
    }

    /**
     * Returns the cell of a service, or empty if the service is unknown or ambiguous.
     *
     * @param provider the providing customer, or null to select the customer's service of that
     *     name, or else the only service of that name
     */
    Optional<ServiceCell> findCell(String customer, String service, String provider) {
        Map<ServiceId, Integer> directory = mDirectory;
        Optional<Route> route = mTable.find(customer, service);
        ServiceId id = new ServiceId(provider == null ? customer : provider, service);
        if (provider == null && route.isPresent()) {
            id = route.get().provided().id();
        }
        if (directory.containsKey(id)) {
            return Optional.of(new ServiceCell(id, directory.get(id)));
        }
        List<ServiceId> sameName =
                directory.keySet().stream().filter(key -> key.name().equals(service)).toList();
        return provider == null && sameName.size() == 1
                ? Optional.of(new ServiceCell(sameName.get(0), directory.get(sameName.get(0))))
                : Optional.empty();
    }

    /**
     * A service and the size of its cell.
     *
     * @param service the service
     * @param size the number of VMs that serve it
     */
    record ServiceCell(ServiceId service, int size) {}

    /** Returns the revision of a customer's template in force, or empty if there is none. */
    synchronized Optional<ActiveRevision> activeRevision(String customer) {
        return Optional.ofNullable(mActiveRevisions.get(customer));
    }

    /** Adds a listener, called on the control thread after each change; only before the start. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Handles changes received from a member; control thread only. */
    void onRumor(List<ChangeRecord> records) {
        execute(mFollower.onRumor(records, mLoop.nowMillis()));
    }

    /** Handles the head number in a member's datagram; control thread only. */
    void onPing(VmIdentity peer, long headNumber) {
        execute(mFollower.onPing(peer, headNumber, mLoop.nowMillis()));
    }

    /** Handles a head read from the store; control thread only. */
    void onHead(Head head) {
        execute(mFollower.onHead(head, mLoop.nowMillis()));
    }

    /** Handles a peer's request for changes. */
    CompletableFuture<RecordsResponse> onFetch(RecordsRequest request) {
        return mLoop.submit(() -> mFollower.answer(request));
    }

    /** Handles a peer's request for a template's text. */
    CompletableFuture<Optional<String>> onFetchText(String customer, String digest) {
        return mLoop.submit(() -> mFollower.text(customer, digest));
    }

    /** Returns when the store last responded, in milliseconds; control thread only. */
    long lastStoreResponseMillis() {
        return mWatch.lastResponseMillis();
    }

    /** Reads the head once, even if this VM is no watcher; control thread only. */
    void probeStore() {
        mWatch.probe();
    }

    private void execute(List<FollowerAction> actions) {
        for (FollowerAction action : actions) {
            if (action instanceof FollowerAction.SendRumor rumor) {
                rumor.members().forEach(member -> mPeers.sendRumor(member, rumor.records()));
            } else if (action instanceof FollowerAction.FetchRecords fetch) {
                fetch(fetch);
            } else if (action instanceof FollowerAction.FetchText fetch) {
                fetch(fetch);
            } else if (action instanceof FollowerAction.ReadStore read) {
                read(read);
            } else {
                executeRevisionAction(action);
            }
        }
        publish();
    }

    private void executeRevisionAction(FollowerAction action) {
        if (action instanceof FollowerAction.Apply apply) {
            apply(apply);
        } else if (action instanceof FollowerAction.Release release) {
            release(release.customer());
        } else if (action instanceof FollowerAction.Reject reject) {
            reject(reject);
        }
    }

    private void fetch(FollowerAction.FetchRecords fetch) {
        Futures.whenDone(
                mPeers.fetchChanges(fetch.peer(), fetch.request()),
                (response, failure) -> {
                    if (failure == null) {
                        mLoop.execute(
                                () -> execute(mFollower.onAnswer(response, mLoop.nowMillis())));
                    }
                });
    }

    private void fetch(FollowerAction.FetchText fetch) {
        Futures.whenDone(
                mPeers.fetchText(fetch.peer(), fetch.customer(), fetch.digest()),
                (text, failure) ->
                        mLoop.execute(
                                () ->
                                        execute(
                                                mFollower.onText(
                                                        fetch.customer(),
                                                        fetch.digest(),
                                                        failure == null ? text : Optional.empty(),
                                                        mLoop.nowMillis()))));
    }

    private void read(FollowerAction.ReadStore read) {
        Futures.whenDone(
                mStore.read(read.key().path()),
                (value, failure) -> {
                    if (failure != null) {
                        LOG.info("Reading the store failed: " + failure.getMessage());
                        return;
                    }
                    Optional<StoreItem> item =
                            value.map(
                                    found -> ConfigurationCodec.decode(read.key(), found.value()));
                    mLoop.execute(
                            () -> execute(mFollower.onStoreItem(read, item, mLoop.nowMillis())));
                });
    }

    private void apply(FollowerAction.Apply apply) {
        mTable = mTable.with(TemplateParser.parse(apply.customer(), apply.text()));
        String digest = new TemplateText(apply.text()).digest();
        synchronized (this) {
            mActiveRevisions.put(apply.customer(), new ActiveRevision(apply.number(), digest));
        }
        explain(
                Action.REVISION_APPLIED,
                apply.customer(),
                "change " + apply.number() + " was accepted",
                "digest " + digest);
        mListeners.forEach(Runnable::run);
    }

    private void release(String customer) {
        mTable = mTable.without(customer);
        synchronized (this) {
            mActiveRevisions.remove(customer);
        }
        mListeners.forEach(Runnable::run);
    }

    private void reject(FollowerAction.Reject reject) {
        explain(
                Action.REVISION_REJECTED,
                reject.customer(),
                "change " + reject.number() + " fails its check; the one in force stays",
                reject.problem());
    }

    private void explain(Action action, String customer, String cause, String evidence) {
        mExplanations.add(
                new Explanation(mLoop.nowMillis(), action, customer, cause, evidence, ""));
    }

    private void publish() {
        mHeadNumber = mFollower.headNumber();
        mDirectory = mFollower.cellSizes();
        mFleet.setHeadNumber(mHeadNumber);
        mMetrics.onConfigurationNumber(mHeadNumber);
        if (mFollower.isReady()
                && mWatch.hasProbed()
                && mReadiness.transition(Readiness.State.STARTING, servingState())) {
            LOG.info("All templates of this VM's services are in force; serving requests.");
        }
    }

    private static Readiness.State servingState() {
        return Readiness.State.SERVING;
    }

    /** Returns the follower's counters; control thread only. */
    FollowerCounters counters() {
        return mFollower.counters();
    }

    private static Optional<String> validate(String text) {
        try {
            TemplateParser.parse("accepted template", text);
            return Optional.empty();
        } catch (SettingsException failure) {
            return Optional.of(failure.getMessage());
        }
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mPeers = kernel.find(PeerLink.NAME, PeerLink.class);
        mMetrics = kernel.find(EntryMetrics.NAME, EntryMetrics.class);
        mExplanations = kernel.find(ExplanationLog.NAME, ExplanationLog.class);
        mFollower =
                new ConfigurationFollower(
                        FollowerSettings.DEFAULTS,
                        new ConfigurationPeers(mFleet, () -> mFollower.cellSizes()),
                        ConfigurationService::validate,
                        mRandom);
        mWatch = new StoreHeadWatcher(mStore, mLoop, mFleet, this::onHead);
        mFleet.onChange(this::onMembersChanged);
        mLoop.execute(mWatch::probe);
        mLoop.execute(mWatch::refresh);
        mLoop.scheduleWithFixedDelay(
                TICK_PERIOD, () -> execute(mFollower.onTick(mLoop.nowMillis())));
        return CompletableFuture.completedFuture(null);
    }

    private void onMembersChanged() {
        execute(mFollower.onMembersChanged(mLoop.nowMillis()));
        mWatch.refresh();
    }

    @Override
    public CompletableFuture<Void> stop() {
        mWatch.stop();
        return CompletableFuture.completedFuture(null);
    }
}
