package org.dahliapass.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dahliapass.platform.ItemKind;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;

/**
 * An in-memory copy of the store with its latest changes, from which other VMs read.
 *
 * <p>A value that is known to be newer than the store's is kept when the store was restored from an
 * older copy, and so is a removal. Followers receive a restore as a list of changes.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
final class StoreMirror {
    /** The maximum number of changes kept for followers, which read them every second. */
    private static final int MAX_EVENTS = 2_000;

    /** Stands for an epoch in which nothing was removed yet. */
    private static final long NEW_EPOCH = Long.MAX_VALUE;

    private final TreeMap<String, StoredItem> mItems = new TreeMap<>();
    private final Deque<LoggedEvent> mEvents = new ArrayDeque<>();
    private final RemovedItems mRemoved = new RemovedItems();

    /** The keys whose state here is newer than in the restored store. */
    private final Set<String> mCarriedOver = new LinkedHashSet<>();

    /** The known part of each earlier epoch from which followers may continue. */
    private final TreeMap<Long, EpochSpan> mEarlierEpochs = new TreeMap<>();

    /** The number at which this mirror entered the current epoch. */
    private long mEpochStart;

    private StoreRevision mCompacted = StoreRevision.NONE;
    private StoreRevision mRevision = StoreRevision.NONE;

    /**
     * The part of an epoch whose changes are known.
     *
     * @param start the first number; changes before it are known only as a difference from the
     *     epoch before
     * @param end the last number
     */
    private record EpochSpan(long start, long end) {
        boolean contains(long number) {
            return start <= number && number <= end;
        }
    }

    /** A change and the position that includes it. */
    private record LoggedEvent(StoreRevision position, StoreEvent event) {}

    /**
     * Moves to a snapshot of the store.
     *
     * @return the items after the move, which differ from the snapshot where the state known before
     *     is newer
     */
    List<StoredItem> load(List<StoredItem> items, StoreRevision revision, long nowMillis) {
        boolean isSameHistory =
                revision.epoch() == mRevision.epoch() && revision.compareTo(mRevision) >= 0;
        return load(items, revision, isSameHistory, nowMillis);
    }

    /**
     * Moves to a snapshot of another VM's mirror, which may lack an item that the store holds.
     *
     * @return the items after the move, which differ from the snapshot where the state known before
     *     is newer
     */
    List<StoredItem> loadFromPeer(List<StoredItem> items, StoreRevision revision, long nowMillis) {
        return load(items, revision, false, nowMillis);
    }

    private List<StoredItem> load(
            List<StoredItem> items, StoreRevision revision, boolean isSameHistory, long nowMillis) {
        Map<String, StoredItem> previous = new TreeMap<>(mItems);
        List<String> carriedOver = List.copyOf(mCarriedOver);
        mItems.clear();
        mCarriedOver.clear();
        items.forEach(item -> merge(item, previous.get(item.key()), isSameHistory, nowMillis));
        previous.values().forEach(item -> keepOrRemove(item, isSameHistory, nowMillis));
        boolean isNextEpoch = isLoaded() && revision.epoch() > mRevision.epoch();
        moveTo(revision);
        if (isNextEpoch) {
            logDifferences(previous);
            logStates(carriedOver);
        } else {
            discardLog();
        }
        return List.copyOf(mItems.values());
    }

    private void merge(StoredItem item, StoredItem known, boolean isSameHistory, long nowMillis) {
        boolean isKnownNewer = known != null && ItemKind.isOlder(item, known);
        long epoch = isSameHistory ? mRevision.epoch() : NEW_EPOCH;
        boolean isRemoved = known == null && mRemoved.contains(item, epoch, nowMillis);
        if (isKnownNewer || isRemoved) {
            mCarriedOver.add(item.key());
        }
        if (!isRemoved) {
            mItems.put(item.key(), isKnownNewer ? known : item);
        }
    }

    /** Handles an item that a snapshot lacks. */
    private void keepOrRemove(StoredItem known, boolean isSameHistory, long nowMillis) {
        if (mItems.containsKey(known.key())) {
            return;
        }
        if (ItemKind.of(known.key()) == ItemKind.CONFIGURATION) {
            mItems.put(known.key(), known);
            mCarriedOver.add(known.key());
            return;
        }
        recordRemoval(known, isSameHistory, nowMillis);
    }

    /** Records a removal, or that an item is missing since a restore. */
    private void recordRemoval(StoredItem item, boolean isSameHistory, long nowMillis) {
        if (isSameHistory) {
            mRemoved.add(item, mRevision.epoch(), nowMillis);
        } else {
            mRemoved.addLost(item, mRevision.epoch(), nowMillis);
        }
    }

    private void moveTo(StoreRevision revision) {
        if (revision.epoch() > mRevision.epoch() && isLoaded()) {
            mEarlierEpochs.put(mRevision.epoch(), new EpochSpan(mEpochStart, mRevision.number()));
            mEpochStart = revision.number();
        }
        mRevision = revision;
    }

    /** Discards the changes before the current position, from which no follower can continue. */
    private void discardLog() {
        mEvents.clear();
        mEarlierEpochs.clear();
        mCompacted = mRevision;
        mEpochStart = mRevision.number();
    }

    /** Logs the differences from an earlier state as changes at the current position. */
    private void logDifferences(Map<String, StoredItem> previous) {
        for (String key : previous.keySet()) {
            if (!mItems.containsKey(key)) {
                log(new StoreEvent.Removed(key, mRevision.number()), mRevision);
            }
        }
        for (StoredItem item : mItems.values()) {
            StoredItem known = previous.get(item.key());
            if (known == null || !known.encoded().equals(item.encoded())) {
                log(new StoreEvent.Written(item), mRevision);
            }
        }
    }

    /**
     * Logs the states of keys in which this mirror differed from the store of the epoch before, so
     * that a follower which knew the store's state then gets them.
     */
    private void logStates(List<String> keys) {
        keys.forEach(key -> log(currentState(key), mRevision));
    }

    /** Applies changes of the store in order, up to a position. */
    void apply(List<StoreEvent> events, StoreRevision revision, long nowMillis) {
        StoreRevision before = mRevision;
        boolean isSameHistory = revision.epoch() == before.epoch();
        List<String> carriedOver = List.copyOf(mCarriedOver);
        events.forEach(event -> apply(event, isSameHistory, nowMillis));
        if (revision.compareTo(before) > 0) {
            moveTo(revision);
        }
        events.forEach(event -> log(event, positionOf(event, before, revision)));
        if (!isSameHistory) {
            logStates(carriedOver);
        }
    }

    /**
     * Applies changes that another VM handed on, up to a position. That VM may have started after a
     * restore, and know older values than this one.
     *
     * @return the changes that were applied
     */
    List<StoreEvent> applyFromPeer(
            List<StoreEvent> events, StoreRevision revision, long nowMillis) {
        List<StoreEvent> newer = new ArrayList<>();
        for (StoreEvent event : events) {
            if (isOutdated(event, nowMillis)) {
                mCarriedOver.add(event.key());
            } else {
                newer.add(event);
            }
        }
        apply(newer, revision, nowMillis);
        return newer;
    }

    private boolean isOutdated(StoreEvent event, long nowMillis) {
        if (event instanceof StoreEvent.Written written) {
            StoredItem known = mItems.get(event.key());
            return known == null
                    ? mRemoved.contains(written.item(), NEW_EPOCH, nowMillis)
                    : ItemKind.isOlder(written.item(), known);
        }
        return ItemKind.of(event.key()) == ItemKind.CONFIGURATION;
    }

    private void apply(StoreEvent event, boolean isSameHistory, long nowMillis) {
        mCarriedOver.remove(event.key());
        if (event instanceof StoreEvent.Written written) {
            mItems.put(event.key(), written.item());
            mRemoved.remove(event.key());
            return;
        }
        StoredItem removed = mItems.remove(event.key());
        if (removed != null) {
            recordRemoval(removed, isSameHistory, nowMillis);
        }
    }

    /**
     * Returns the position that includes a change: its own revision if that lies between both
     * positions; a change that was carried over from another epoch has none there.
     */
    private static StoreRevision positionOf(
            StoreEvent event, StoreRevision before, StoreRevision after) {
        long number = numberOf(event);
        boolean isBetween =
                before.epoch() == after.epoch()
                        && before.number() < number
                        && number <= after.number();
        return isBetween ? after.withNumber(number) : after;
    }

    private void log(StoreEvent event, StoreRevision position) {
        mEvents.addLast(new LoggedEvent(position, event));
        while (mEvents.size() > MAX_EVENTS) {
            StoreRevision removed = mEvents.removeFirst().position();
            mCompacted = removed.compareTo(mCompacted) > 0 ? removed : mCompacted;
            mEarlierEpochs.headMap(mCompacted.epoch()).clear();
        }
    }

    /** Returns whether a snapshot was loaded. */
    boolean isLoaded() {
        return mRevision.number() > 0;
    }

    /** Returns the position up to which the contents are complete. */
    StoreRevision revision() {
        return mRevision;
    }

    /** Returns the item with a key. */
    Optional<StoredItem> item(String key) {
        return Optional.ofNullable(mItems.get(key));
    }

    /** Returns the keys with a prefix. */
    Set<String> keys(String prefix) {
        return Set.copyOf(mItems.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    /** Returns the number of keys whose state here is newer than in the restored store. */
    int carriedOverCount() {
        return mCarriedOver.size();
    }

    /** Returns all items at the current revision. */
    RangePage snapshot() {
        return new RangePage(new ArrayList<>(mItems.values()), false, mRevision);
    }

    /**
     * Returns the changes after a position; empty if there are none yet.
     *
     * @param after the position of the follower, whose epoch may be unknown but not newer
     * @param isFromStore whether the follower read its state from the store, which may lack what is
     *     carried over here
     */
    Optional<WatchResponse> changesAfter(StoreRevision after, boolean isFromStore) {
        StoreRevision position =
                after.epoch() == StoreRevision.UNKNOWN_EPOCH
                        ? mRevision.withNumber(after.number())
                        : after;
        if (!isContinuation(position)) {
            return Optional.of(new WatchResponse.Compacted(mRevision.epoch()));
        }
        List<StoreEvent> changes = new ArrayList<>();
        for (LoggedEvent logged : mEvents) {
            if (logged.position().compareTo(position) > 0) {
                changes.add(logged.event());
            }
        }
        if (isFromStore && position.compareTo(mRevision) <= 0) {
            mCarriedOver.forEach(key -> changes.add(currentState(key)));
        }
        return changes.isEmpty()
                ? Optional.empty()
                : Optional.of(new WatchResponse.Changes(changes, mRevision));
    }

    /** Returns whether the kept changes continue the history up to a position. */
    private boolean isContinuation(StoreRevision position) {
        if (position.compareTo(mCompacted) < 0) {
            return false;
        }
        if (position.epoch() == mRevision.epoch()) {
            return position.number() >= mEpochStart;
        }
        EpochSpan span = mEarlierEpochs.get(position.epoch());
        return span != null && span.contains(position.number());
    }

    private StoreEvent currentState(String key) {
        StoredItem item = mItems.get(key);
        return item == null
                ? new StoreEvent.Removed(key, mRevision.number())
                : new StoreEvent.Written(item);
    }

    private static long numberOf(StoreEvent event) {
        if (event instanceof StoreEvent.Written written) {
            return written.item().revision();
        }
        return ((StoreEvent.Removed) event).revision();
    }
}
