package org.dahliapass.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;

/**
 * An in-memory copy of the store with its latest changes, from which other VMs read.
 *
 * <p>Followers receive a restore of the store as a list of changes.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
final class StoreMirror {
    /** The maximum number of changes kept for followers, which read them every second. */
    private static final int MAX_EVENTS = 2_000;

    private final TreeMap<String, StoredItem> mItems = new TreeMap<>();
    private final Deque<LoggedEvent> mEvents = new ArrayDeque<>();

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

    /** Moves to a snapshot. */
    void load(List<StoredItem> items, StoreRevision revision) {
        Map<String, StoredItem> previous = new TreeMap<>(mItems);
        mItems.clear();
        items.forEach(item -> mItems.put(item.key(), item));
        boolean isNextEpoch = isLoaded() && revision.epoch() > mRevision.epoch();
        moveTo(revision);
        if (isNextEpoch) {
            logDifferences(previous);
        } else {
            discardLog();
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

    /** Applies changes in order, up to a position. */
    void apply(List<StoreEvent> events, StoreRevision revision) {
        StoreRevision before = mRevision;
        events.forEach(this::apply);
        if (revision.compareTo(before) > 0) {
            moveTo(revision);
        }
        events.forEach(event -> log(event, positionOf(event, before, revision)));
    }

    private void apply(StoreEvent event) {
        if (event instanceof StoreEvent.Written written) {
            mItems.put(event.key(), written.item());
        } else {
            mItems.remove(event.key());
        }
    }

    /**
     * Returns the position that includes a change: its own revision if that lies between both
     * positions; a change between two epochs has none in the later one.
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

    /** Returns all items at the current revision. */
    RangePage snapshot() {
        return new RangePage(new ArrayList<>(mItems.values()), false, mRevision);
    }

    /**
     * Returns the changes after a position; empty if there are none yet.
     *
     * @param after the position of the follower, whose epoch may be unknown but not newer
     */
    Optional<WatchResponse> changesAfter(StoreRevision after) {
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

    private static long numberOf(StoreEvent event) {
        if (event instanceof StoreEvent.Written written) {
            return written.item().revision();
        }
        return ((StoreEvent.Removed) event).revision();
    }
}
