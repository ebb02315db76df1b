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
 * Follows the fleet-wide order of changes on one VM and puts in force the templates of customers
 * whose services the VM serves, each only by a higher number.
 *
 * <p>Each event returns what to do. The answers to fetches and reads are events again; an answer
 * that never comes is asked for elsewhere by {@link #onTick}.
 */
public class ConfigurationFollower {
    /** A watcher that sees more news than this is just starting and doesn't read their texts. */
    private static final int MOST_TEXTS_OF_A_HEAD = 8;

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final RandomGenerator mRandom;
    private final ChangeWindow mWindow;
    private final KnownCustomers mCustomers;
    private final GroupTracker mGroups;
    private final ActiveTemplates mTemplates;
    private final TextFetcher mTexts;
    private final StoreReadLimiter mBudget;
    private final List<FollowerAction> mActions = new ArrayList<>();
    private Optional<StoreBackfill> mBackfill = Optional.empty();
    private Optional<VmIdentity> mAhead = Optional.empty();
    private long mAskedUntil = Long.MIN_VALUE;
    private boolean mDirectoryChanged;
    private long mPassedOn;

    /**
     * Creates the follower of a VM that knows nothing yet.
     *
     * @param check tells what is wrong with a template's text; empty if it is good
     */
    public ConfigurationFollower(
            FollowerSettings settings,
            FollowerPeers peers,
            Function<String, Optional<String>> check,
            RandomGenerator random) {
        this(settings, peers, new ActiveTemplates(check, settings.textCacheSize()), random);
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
        mBudget = new StoreReadLimiter(settings.storeReadIntervalMillis());
    }

    /** Takes changes that a member passed on. */
    public final List<FollowerAction> onRumor(List<ChangeRecord> records, long nowMillis) {
        passOn(learn(records));
        return actions(nowMillis);
    }

    /** Takes the head that this VM, being a watcher, read from the store. */
    public final List<FollowerAction> onHead(Head head, long nowMillis) {
        List<ChangeRecord> news = learnHead(head);
        passOn(news);
        if (news.size() <= MOST_TEXTS_OF_A_HEAD) {
            news.forEach(this::readText);
        }
        return actions(nowMillis);
    }

    /** Takes the {@link #headNumber()} that a peer's ping carried. */
    public final List<FollowerAction> onPing(VmIdentity peer, long headNumber, long nowMillis) {
        if (headNumber > mWindow.through()) {
            mAhead = Optional.of(peer);
        }
        return actions(nowMillis);
    }

    /** Takes a peer's answer to a {@link FollowerAction.FetchRecords}, however late. */
    public final List<FollowerAction> onAnswer(RecordsResponse answer, long nowMillis) {
        mAskedUntil = Long.MIN_VALUE;
        jumpIfBehind(answer.firstNumber(), answer.through());
        learn(answer.records());
        for (GroupSnapshot fill : answer.snapshots()) {
            fill(fill, answer.through());
        }
        return actions(nowMillis);
    }

    /**
     * Takes a peer's answer to a {@link FollowerAction.FetchText}; empty if it has no such text.
     */
    public final List<FollowerAction> onText(
            String customer, String digest, Optional<String> text, long nowMillis) {
        takeText(customer, digest, text);
        return actions(nowMillis);
    }

    /** Takes the answer to a read of the store, however late; empty if the key is absent. */
    public final List<FollowerAction> onStoreItem(
            FollowerAction.ReadStore read, Optional<StoreItem> item, long nowMillis) {
        StoreKey key = read.key();
        if (key.kind() == StoreKind.TEXT) {
            item.map(TemplateText.class::cast).ifPresent(text -> takeStoreText(key, text));
            return actions(nowMillis);
        }
        if (key.kind() == StoreKind.HEAD) {
            learnHead(OperationSearch.head(item));
        }
        mBackfill.ifPresent(backfill -> backfill.onItem(read, item));
        if (mBackfill.isPresent() && mBackfill.get().isDone()) {
            fill(mBackfill.get().snapshot(), mBackfill.get().through());
            mBackfill = Optional.empty();
        }
        return actions(nowMillis);
    }

    /** Takes the fact that the member list, and with it the cells, may have changed. */
    public final List<FollowerAction> onMembersChanged(long nowMillis) {
        refreshGroups();
        return actions(nowMillis);
    }

    /** Asks again, or elsewhere, for what didn't come; call it a few times a second. */
    public final List<FollowerAction> onTick(long nowMillis) {
        return actions(nowMillis);
    }

    /** Answers a peer's {@link FollowerAction.FetchRecords}. */
    public final RecordsResponse answer(RecordsRequest request) {
        List<GroupSnapshot> fills =
                request.groups().stream()
                        .filter(mGroups::isComplete)
                        .map(group -> new GroupSnapshot(group, mCustomers.of(group)))
                        .toList();
        return new RecordsResponse(
                mWindow.first(), mWindow.through(), mWindow.since(request.since()), fills);
    }

    /** Answers a peer's {@link FollowerAction.FetchText}. */
    public final Optional<String> text(String customer, String digest) {
        return mTemplates.text(customer, digest);
    }

    /** Returns the newest number up to which all changes are known; pings carry it. */
    public final long headNumber() {
        return mWindow.through();
    }

    /** Returns whether all that this VM must know, as far as it can tell, is known. */
    public final boolean isReady() {
        return mGroups.incomplete().isEmpty() && mTexts.size() == 0;
    }

    /** Returns the number of the change that is in force for a customer. */
    public final Optional<Long> activeNumber(String customer) {
        return mTemplates.number(customer);
    }

    /** Returns the fleet's services and their cell sizes, as far as they are known. */
    public final Map<ServiceId, Integer> cellSizes() {
        return mCustomers.cellSizes();
    }

    /** Returns figures for metrics. */
    public final FollowerCounters counters() {
        return new FollowerCounters(
                mWindow.through(),
                mCustomers.size(),
                mTemplates.size(),
                mGroups.incomplete().size(),
                mTexts.size(),
                mPassedOn,
                mBudget.reads(),
                mTemplates.rejected());
    }

    /**
     * Returns whether a change is newer than all that is known of its customer.
     *
     * <p>Guards against changes that arrive out of order, twice or late, which would show as a
     * template that reverts. It holds because numbers only grow in the fleet-wide order, and a
     * change is compared with the one kept and with all in the window, so that a customer that was
     * let go does not come back by an older change.
     */
    boolean supersedes(ChangeRecord record) {
        return mCustomers.isNewer(record) && !mWindow.hasNewer(record);
    }

    private List<ChangeRecord> learnHead(Head head) {
        jumpIfBehind(head.firstNumber(), head.number());
        return learn(head.ring());
    }

    /**
     * Guards against a VM that was away for longer than the window reaches back, which would show
     * as changes that it never hears of. It holds because all groups count as unknown again and are
     * fetched whole; what is in force stays so meanwhile.
     */
    private void jumpIfBehind(long firstNumber, long through) {
        if (through > mWindow.through() && firstNumber > mWindow.through() + 1) {
            mWindow.resetTo(firstNumber);
            mGroups.resetAll();
        }
    }

    private List<ChangeRecord> learn(List<ChangeRecord> records) {
        List<ChangeRecord> news = new ArrayList<>();
        for (ChangeRecord record : records) {
            if (mWindow.add(record)) {
                news.add(record);
                consider(record);
            }
        }
        return news;
    }

    private void consider(ChangeRecord record) {
        if (!supersedes(record)) {
            return;
        }
        mDirectoryChanged |= mCustomers.put(record);
        if (mCustomers.isServed(record)) {
            want(record);
        } else {
            release(record.customer());
        }
    }

    private void want(ChangeRecord record) {
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
            considerServed(record);
        }
        if (!added.isEmpty()) {
            mWindow.all().forEach(this::consider);
        }
    }

    /** A provider's change is always kept; its text is wanted once the VM serves the service. */
    private void considerServed(ChangeRecord record) {
        if (!mCustomers.isServed(record)) {
            release(record.customer());
        } else if (mTemplates.isNewer(record) && !mTexts.isRequested(record)) {
            want(record);
        }
    }

    private void fill(GroupSnapshot fill, long through) {
        if (!mGroups.contains(fill.group()) || through < mWindow.first() - 1) {
            return;
        }
        mGroups.markComplete(fill.group());
        fill.newest().forEach(this::consider);
        for (ChangeRecord gone : mCustomers.removeMissing(fill, through, mWindow.first())) {
            release(gone.customer());
        }
    }

    private void readText(ChangeRecord record) {
        if (mTemplates.text(record.customer(), record.digest()).isEmpty()) {
            mBudget.recordUnthrottled();
            mActions.add(
                    new FollowerAction.ReadStore(
                            StoreKey.text(record.customer(), record.digest()), mBudget.reads()));
        }
    }

    private void takeStoreText(StoreKey key, TemplateText text) {
        String digest = text.digest();
        String[] parts = key.path().split("/", -1);
        String customer = parts[1];
        if (key.equals(StoreKey.text(customer, digest))) {
            mTemplates.cache(customer, digest, text.text());
            takeText(customer, digest, Optional.of(text.text()));
        }
    }

    private void takeText(String customer, String digest, Optional<String> text) {
        if (text.isEmpty() || !new TemplateText(text.get()).digest().equals(digest)) {
            mTexts.retryNextSource(customer, digest);
            return;
        }
        mTexts.complete(customer, digest)
                .ifPresent(record -> mActions.addAll(mTemplates.activate(record, text.get())));
    }

    private void passOn(List<ChangeRecord> news) {
        List<VmIdentity> members = new ArrayList<>(mPeers.members());
        if (news.isEmpty() || members.isEmpty()) {
            return;
        }
        List<VmIdentity> chosen = new ArrayList<>();
        while (chosen.size() < mSettings.fanout() && !members.isEmpty()) {
            chosen.add(members.remove(mRandom.nextInt(members.size())));
        }
        mPassedOn += news.size();
        mActions.add(new FollowerAction.SendRumor(chosen, news));
    }

    /**
     * Looks once at the groups that follow from all that was taken in.
     *
     * <p>Guards against a look at all services for each provider of a fill, which would show as a
     * VM that takes seconds of processor time to start among many services.
     */
    private void followDirectory() {
        while (mDirectoryChanged) {
            mDirectoryChanged = false;
            refreshGroups();
        }
    }

    private List<FollowerAction> actions(long nowMillis) {
        followDirectory();
        askPeer(nowMillis);
        readStore(nowMillis);
        mActions.addAll(mTexts.due(nowMillis, mBudget));
        List<FollowerAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    private void askPeer(long nowMillis) {
        if (nowMillis < mAskedUntil) {
            return;
        }
        Optional<VmIdentity> peer = mAhead.or(() -> mGroups.nextSource(nowMillis));
        mAhead = Optional.empty();
        if (peer.isPresent()) {
            mAskedUntil = nowMillis + mSettings.responseTimeoutMillis();
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
                .flatMap(b -> b.due(nowMillis, mSettings.responseTimeoutMillis(), mBudget))
                .ifPresent(mActions::add);
    }
}
