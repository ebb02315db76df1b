package org.dahliapass.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PartLog;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Template;
import org.dahliapass.model.TemplateParser;
import org.dahliapass.platform.ConfigurationCodec;
import org.dahliapass.platform.StoreClient;
import org.dahliapass.platform.StoredValue;
import org.dahliapass.platform.WatchedValue;
import org.dahliapass.wire.message.FetchChanges;
import org.dahliapass.wire.message.FetchText;
import org.dahliapass.wire.message.PeerReply;

/** Follows the accepted changes and publishes the templates in force on this VM. */
public final class ConfigurationService implements KernelService {
    /** The name under which the kernel holds the service. */
    public static final String NAME = "configuration";

    private static final PartLog LOG = PartLog.of("configuration");
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration RETRY = Duration.ofSeconds(1);

    private final StoreClient mStore;
    private final Readiness mReadiness;
    private final List<Runnable> mListeners = new ArrayList<>();
    private final Map<String, ChangeRecord> mInForce = new HashMap<>();
    private ControlLoop mLoop;
    private EntryMetrics mMetrics;
    private volatile RoutingTable mTable = RoutingTable.EMPTY;
    private volatile long mNumber;
    private volatile boolean mStopped;

    ConfigurationService(StoreClient store, Readiness readiness) {
        mStore = store;
        mReadiness = readiness;
    }

    /** Returns the templates in force on this VM. */
    RoutingTable table() {
        return mTable;
    }

    /** Returns the number of the newest change that this VM has applied. */
    long number() {
        return mNumber;
    }

    /** Returns the provider's template of a customer's service. */
    Optional<ServiceTemplate> directory(String customer, String service) {
        return mTable.find(customer, service).map(Route::provided);
    }

    /** Returns the change of a customer that is in force on this VM. */
    synchronized Optional<ChangeRecord> inForce(String customer) {
        return Optional.ofNullable(mInForce.get(customer));
    }

    /** Adds what is run on the control thread after each change in force; before the start. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    private void watch(long index) {
        if (mStopped) {
            return;
        }
        Futures.whenDone(
                mStore.watch(StoreKey.HEAD.path(), index, WAIT),
                (watched, failure) -> {
                    if (failure != null) {
                        LOG.info("The store gave no word: " + failure.getMessage());
                        mLoop.after(RETRY, () -> watch(0));
                        return;
                    }
                    onHead(watched);
                    watch(watched.index());
                });
    }

    private void onHead(WatchedValue watched) {
        watched.value().ifPresent(value -> mLoop.execute(() -> apply(decode(value))));
    }

    private static Head decode(StoredValue value) {
        return (Head) ConfigurationCodec.decode(StoreKey.HEAD, value.value());
    }

    private void apply(Head head) {
        for (ChangeRecord record : head.ring()) {
            if (head.newestOf(record.customer()).orElseThrow().number() == record.number()) {
                fetch(record);
            }
        }
    }

    private void fetch(ChangeRecord record) {
        ChangeRecord known = mInForce.get(record.customer());
        if (known != null && known.number() >= record.number()) {
            return;
        }
        Futures.whenDone(
                mStore.read(StoreKey.text(record.customer(), record.digest()).path()),
                (value, failure) -> {
                    if (failure == null && value.isPresent()) {
                        mLoop.execute(() -> apply(record, value.get().value()));
                    }
                });
    }

    private void apply(ChangeRecord record, String text) {
        ChangeRecord known = mInForce.get(record.customer());
        if (known != null && known.number() >= record.number()) {
            return;
        }
        try {
            Template template = TemplateParser.parse(record.customer(), text);
            synchronized (this) {
                mInForce.put(record.customer(), record);
            }
            mTable = mTable.with(template);
            mNumber = Math.max(mNumber, record.number());
            mMetrics.onConfiguration(mNumber);
            LOG.info("Change " + record.number() + " of " + record.customer() + " is in force.");
            mListeners.forEach(Runnable::run);
            mReadiness.move(Readiness.State.STARTING, Readiness.State.SERVING);
        } catch (SettingsException failure) {
            LOG.warn("Change " + record.number() + " is not applied: " + failure.getMessage());
        }
    }

    CompletableFuture<PeerReply> onFetchChanges(FetchChanges request) {
        return CompletableFuture.failedFuture(new IllegalStateException("Not held here."));
    }

    CompletableFuture<PeerReply> onFetchText(FetchText request) {
        return CompletableFuture.failedFuture(new IllegalStateException("Not held here."));
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mMetrics = kernel.find(EntryMetrics.NAME, EntryMetrics.class);
        watch(0);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        return CompletableFuture.completedFuture(null);
    }
}
