package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/**
 * Follows the fleet-wide log of changes on one VM and activates the templates of customers whose
 * services the VM serves, with ascending change numbers.
 *
 * <p>Each event returns the actions to perform. Responses to fetches and reads are events; {@link
 * #onTick} retries at another source those that don't arrive. Not thread-safe; confined to one
 * thread.
 */
public class ConfigurationFollower {
    /** With more new changes than this, a watcher is starting and doesn't prefetch their texts. */
    private static final int MAX_TEXTS_PER_HEAD = 8;

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final RandomGenerator mRandom;
    private final ChangeWindow mWindow;
    private final KnownCustomers mCustomers;
    private final GroupTracker mGroups;
    private final ActiveTemplates mTemplates;
    private final TextFetcher mTexts;
    private final StoreReadLimiter mReadLimiter;
    private final List<FollowerAction> mActions = new ArrayList<>();
    private Optional<StoreBackfill> mBackfill = Optional.empty();
    private Optional<VmIdentity> mPeerAhead = Optional.empty();
    private long mResponseDeadlineMillis = Long.MIN_VALUE;
    private boolean mDirectoryChanged;
    private long mForwarded;

    /**
     * Creates a follower without any changes.
     *
     * @param validator returns the error in a template's text; empty if the text is valid
     */
    public ConfigurationFollower(
            FollowerSettings settings,
            FollowerPeers peers,
            Function<String, Optional<String>> validator,
            RandomGenerator random) {
        this(settings, peers, new ActiveTemplates(validator, settings.textCacheSize()), random);
    }

    ConfigurationFollower(
            FollowerSettings settings,
            FollowerPeers peers,
            ActiveTemplates templates,
            RandomGenerator random) {
        mSettings = settings;
        mPeers = peers;
        mRandom = random;
        mWindow = new ChangeWindow(settings.windowCapacity());
        mCustomers = new KnownCustomers(peers);
        mGroups = new GroupTracker(settings, peers);
        mTemplates = templates;
        mTexts = new TextFetcher(settings, peers);
        mReadLimiter = new StoreReadLimiter(settings.storeReadIntervalMillis());
    }

    /** Processes changes that a member sent as a rumor. */
    public final List<FollowerAction> onRumor(List<ChangeRecord> records, long nowMillis) {
        sendRumor(addAll(records));
        return actions(nowMillis);
    }

    /** Processes the head that this VM read from the store as a watcher. */
    public final List<FollowerAction> onHead(Head head, long nowMillis) {
        List<ChangeRecord> added = addHead(head);
        sendRumor(added);
        if (added.size() <= MAX_TEXTS_PER_HEAD) {
            added.forEach(this::readText);
        }
        return actions(nowMillis);
    }

    /** Processes the {@link #headNumber()} of a peer's gossip datagram. */
    public final List<FollowerAction> onPing(VmIdentity peer, long headNumber, long nowMillis) {
        if (headNumber > mWindow.through()) {
            mPeerAhead = Optional.of(peer);
        }
        return actions(nowMillis);
    }

    /** Processes a peer's response, possibly late, to a {@link FollowerAction.FetchRecords}. */
    public final List<FollowerAction> onAnswer(RecordsResponse response, long nowMillis) {
        mResponseDeadlineMillis = Long.MIN_VALUE;
        resetIfBehind(response.firstNumber(), response.through());
        addAll(response.records());
        for (GroupSnapshot snapshot : response.snapshots()) {
            applySnapshot(snapshot, response.through());
        }
        return actions(nowMillis);
    }

    /**
     * Processes a peer's response to a {@link FollowerAction.FetchText}.
     *
     * @param text the text; empty if the peer doesn't have it
     */
    public final List<FollowerAction> onText(
            String customer, String digest, Optional<String> text, long nowMillis) {
        onTextReceived(customer, digest, text);
        return actions(nowMillis);
    }

    /**
     * Processes the result, possibly late, of a read of the store.
     *
     * @param item the value; empty if the key is absent
     */
    public final List<FollowerAction> onStoreItem(
            FollowerAction.ReadStore read, Optional<StoreItem> item, long nowMillis) {
        StoreKey key = read.key();
        if (key.kind() == StoreKind.TEXT) {
            item.map(TemplateText.class::cast).ifPresent(text -> onStoreText(key, text));
            return actions(nowMillis);
        }
        if (key.kind() == StoreKind.HEAD) {
            addHead(OperationSearch.head(item));
        }
        mBackfill.ifPresent(backfill -> backfill.onItem(read, item));
        if (mBackfill.isPresent() && mBackfill.get().isDone()) {
            applySnapshot(mBackfill.get().snapshot(), mBackfill.get().through());
            mBackfill = Optional.empty();
        }
        return actions(nowMillis);
    }

    /** Processes a change of the member list, which may change the cells. */
    public final List<FollowerAction> onMembersChanged(long nowMillis) {
        refreshGroups();
        return actions(nowMillis);
    }

    /** Retries fetches and reads without a response; call it several times per second. */
    public final List<FollowerAction> onTick(long nowMillis) {
        return actions(nowMillis);
    }

    /** Returns the response to a peer's {@link FollowerAction.FetchRecords}. */
    public final RecordsResponse answer(RecordsRequest request) {
        List<GroupSnapshot> snapshots =
                request.groups().stream()
                        .filter(mGroups::isComplete)
                        .map(group -> new GroupSnapshot(group, mCustomers.of(group)))
                        .toList();
        return new RecordsResponse(
                mWindow.first(), mWindow.through(), mWindow.since(request.since()), snapshots);
    }

    /** Returns the text for a peer's {@link FollowerAction.FetchText}; empty if it isn't here. */
    public final Optional<String> text(String customer, String digest) {
        return mTemplates.text(customer, digest);
    }

    /** Returns the highest number up to which all changes are known; gossip datagrams carry it. */
    public final long headNumber() {
        return mWindow.through();
    }

    /** Returns whether all groups and texts that this VM needs are complete. */
    public final boolean isReady() {
        return mGroups.incomplete().isEmpty() && mTexts.size() == 0;
    }

    /** Returns the number of a customer's active change. */
    public final Optional<Long> activeNumber(String customer) {
        return mTemplates.number(customer);
    }

    /** Returns the known services of the fleet with their cell sizes. */
    public final Map<ServiceId, Integer> cellSizes() {
        return mCustomers.cellSizes();
    }

    /** Returns the counters for metrics. */
    public final FollowerCounters counters() {
        return new FollowerCounters(
                mWindow.through(),
                mCustomers.size(),
                mTemplates.size(),
                mGroups.incomplete().size(),
                mTexts.size(),
                mForwarded,
                mReadLimiter.reads(),
                mTemplates.rejected());
    }

    /**
     * Returns whether a change is newer than all known changes of its customer.
     *
     * <p>The comparison includes the window, so that a late older change doesn't restore a customer
     * that was released.
     */
    boolean supersedes(ChangeRecord record) {
        return mCustomers.isNewer(record) && !mWindow.hasNewer(record);
    }

    private List<ChangeRecord> addHead(Head head) {
        resetIfBehind(head.firstNumber(), head.number());
        return addAll(head.ring());
    }

    /**
     * Resets the window and fetches all groups again if this VM missed more changes than the window
     * holds. Active templates stay active meanwhile.
     */
    private void resetIfBehind(long firstNumber, long through) {
        if (through > mWindow.through() && firstNumber > mWindow.through() + 1) {
            mWindow.resetTo(firstNumber);
            mGroups.resetAll();
        }
    }

    private List<ChangeRecord> addAll(List<ChangeRecord> records) {
        List<ChangeRecord> added = new ArrayList<>();
        for (ChangeRecord record : records) {
            if (mWindow.add(record)) {
                added.add(record);
                apply(record);
            }
        }
        return added;
    }

    private void apply(ChangeRecord record) {
        if (!supersedes(record)) {
            return;
        }
        mDirectoryChanged |= mCustomers.put(record);
        if (mCustomers.isServed(record)) {
            fetchOrActivate(record);
        } else {
            release(record.customer());
        }
    }

    private void fetchOrActivate(ChangeRecord record) {
        Optional<String> cached = mTemplates.text(record.customer(), record.digest());
        if (cached.isPresent()) {
            mTexts.cancel(record.customer());
            mActions.addAll(mTemplates.activate(record, cached.get()));
        } else if (mTemplates.isNewer(record)) {
            mTexts.request(record);
        }
    }

    private void release(String customer) {
        mTexts.cancel(customer);
        if (mTemplates.release(customer)) {
            mActions.add(new FollowerAction.Release(customer));
        }
    }

    private void refreshGroups() {
        List<CustomerGroup> added = mGroups.refresh(mCustomers.cellSizes().keySet());
        for (ChangeRecord record : mCustomers.removeUnneeded()) {
            release(record.customer());
        }
        for (ChangeRecord record : mCustomers.providers()) {
            applyIfServed(record);
        }
        if (!added.isEmpty()) {
            mWindow.all().forEach(this::apply);
        }
    }

    /**
     * Fetches a provider's text once this VM serves the service; the change itself is always kept.
     */
    private void applyIfServed(ChangeRecord record) {
        if (!mCustomers.isServed(record)) {
            release(record.customer());
        } else if (mTemplates.isNewer(record) && !mTexts.isRequested(record)) {
            fetchOrActivate(record);
        }
    }

    private void applySnapshot(GroupSnapshot snapshot, long through) {
        if (!mGroups.contains(snapshot.group()) || through < mWindow.first() - 1) {
            return;
        }
        mGroups.markComplete(snapshot.group());
        snapshot.newest().forEach(this::apply);
        for (ChangeRecord removed : mCustomers.removeMissing(snapshot, through, mWindow.first())) {
            release(removed.customer());
        }
    }

    private void readText(ChangeRecord record) {
        if (mTemplates.text(record.customer(), record.digest()).isEmpty()) {
            mReadLimiter.recordUnthrottled();
            mActions.add(
                    new FollowerAction.ReadStore(
                            StoreKey.text(record.customer(), record.digest()),
                            mReadLimiter.reads()));
        }
    }

    private void onStoreText(StoreKey key, TemplateText text) {
        String digest = text.digest();
        String[] parts = key.path().split("/", -1);
        String customer = parts[1];
        if (key.equals(StoreKey.text(customer, digest))) {
            mTemplates.cache(customer, digest, text.text());
            onTextReceived(customer, digest, Optional.of(text.text()));
        }
    }

    private void onTextReceived(String customer, String digest, Optional<String> text) {
        if (text.isEmpty() || !new TemplateText(text.get()).digest().equals(digest)) {
            mTexts.retryNextSource(customer, digest);
            return;
        }
        mTexts.complete(customer, digest)
                .ifPresent(record -> mActions.addAll(mTemplates.activate(record, text.get())));
    }

    private void sendRumor(List<ChangeRecord> added) {
        List<VmIdentity> members = new ArrayList<>(mPeers.members());
        if (added.isEmpty() || members.isEmpty()) {
            return;
        }
        List<VmIdentity> recipients = new ArrayList<>();
        while (recipients.size() < mSettings.fanout() && !members.isEmpty()) {
            recipients.add(members.remove(mRandom.nextInt(members.size())));
        }
        mForwarded += added.size();
        mActions.add(new FollowerAction.SendRumor(recipients, added));
    }

    /**
     * Refreshes the groups once per event instead of once per change, which is expensive with many
     * services.
     */
    private void refreshAfterDirectoryChange() {
        while (mDirectoryChanged) {
            mDirectoryChanged = false;
            refreshGroups();
        }
    }

    private List<FollowerAction> actions(long nowMillis) {
        refreshAfterDirectoryChange();
        fetchRecords(nowMillis);
        readStore(nowMillis);
        mActions.addAll(mTexts.due(nowMillis, mReadLimiter));
        List<FollowerAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    private void fetchRecords(long nowMillis) {
        if (nowMillis < mResponseDeadlineMillis) {
            return;
        }
        Optional<VmIdentity> peer = mPeerAhead.or(() -> mGroups.nextSource(nowMillis));
        mPeerAhead = Optional.empty();
        if (peer.isPresent()) {
            mResponseDeadlineMillis = nowMillis + mSettings.responseTimeoutMillis();
            mActions.add(
                    new FollowerAction.FetchRecords(
                            peer.get(),
                            new RecordsRequest(mWindow.through(), mGroups.incomplete())));
        }
    }

    private void readStore(long nowMillis) {
        if (mBackfill.isPresent() && mGroups.isComplete(mBackfill.get().group())) {
            mBackfill = Optional.empty();
        }
        if (mBackfill.isEmpty()) {
            mBackfill = mGroups.nextForStore(nowMillis).map(StoreBackfill::new);
        }
        mBackfill
                .flatMap(b -> b.due(nowMillis, mSettings.responseTimeoutMillis(), mReadLimiter))
                .ifPresent(mActions::add);
    }
}
