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
 * Runs the follower of accepted changes on the control thread and publishes the templates in force.
 *
 * <p>Only the watchers of each zone hold a blocking read on the store's head; see {@link
 * StoreWatch}. All others hear of changes from members.
 */
public final class ConfigurationService implements KernelService {
    /** The name under which the kernel holds the service. */
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
     * The revision of a template that is in force here.
     *
     * @param number the change's number
     * @param digest the text's digest
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

    /** Returns the number up to which this VM knows all changes. */
    long headNumber() {
        return mHeadNumber;
    }

    /**
     * Finds a service in the fleet's directory.
     *
     * @param provider the customer that provides it, or null: then the customer's own service of
     *     that name, or else the only one of that name
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
        List<ServiceId> named =
                directory.keySet().stream().filter(key -> key.name().equals(service)).toList();
        return provider == null && named.size() == 1
                ? Optional.of(new ServiceCell(named.get(0), directory.get(named.get(0))))
                : Optional.empty();
    }

    /**
     * A service with the size of its cell.
     *
     * @param service the service
     * @param size how many VMs serve it
     */
    record ServiceCell(ServiceId service, int size) {}

    /** Returns the revision of a customer's template that is in force here. */
    synchronized Optional<ActiveRevision> activeRevision(String customer) {
        return Optional.ofNullable(mActiveRevisions.get(customer));
    }

    /** Adds what is run on the control thread after each change in force; before the start. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Takes changes that a member passed on; control thread only. */
    void onRumor(List<ChangeRecord> records) {
        execute(mFollower.onRumor(records, mLoop.nowMillis()));
    }

    /** Takes the head number that a member's datagram carries; control thread only. */
    void onPing(VmIdentity peer, long headNumber) {
        execute(mFollower.onPing(peer, headNumber, mLoop.nowMillis()));
    }

    /** Takes the head that this VM read; control thread only. */
    void onHead(Head head) {
        execute(mFollower.onHead(head, mLoop.nowMillis()));
    }

    /** Answers a peer that asks for changes. */
    CompletableFuture<RecordsResponse> onFetch(RecordsRequest request) {
        return mLoop.submit(() -> mFollower.answer(request));
    }

    /** Answers a peer that asks for a text. */
    CompletableFuture<Optional<String>> onFetchText(String customer, String digest) {
        return mLoop.submit(() -> mFollower.text(customer, digest));
    }

    /** Returns when the store last answered, in milliseconds; control thread only. */
    long lastStoreResponseMillis() {
        return mWatch.lastResponseMillis();
    }

    /** Reads the head now, whether or not this VM is a watcher. */
    void probeStore() {
        mWatch.probe();
    }

    private void execute(List<FollowerAction> actions) {
        for (FollowerAction action : actions) {
            if (action instanceof FollowerAction.SendRumor passOn) {
                passOn.members().forEach(member -> mPeers.sendRumor(member, passOn.records()));
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
                (answer, failure) -> {
                    if (failure == null) {
                        mLoop.execute(() -> execute(mFollower.onAnswer(answer, mLoop.nowMillis())));
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
                        LOG.info("The store gave no word: " + failure.getMessage());
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
            LOG.info("All templates of this VM's services are in force; serving.");
        }
    }

    private static Readiness.State servingState() {
        return Readiness.State.SERVING;
    }

    /** Returns the follower's figures; control thread only. */
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
