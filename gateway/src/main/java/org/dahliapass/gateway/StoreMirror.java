package org.dahliapass.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
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
 * <p>Not thread-safe; confined to the control thread.
 */
final class StoreMirror {
    /** The maximum number of changes kept for followers, which read them every second. */
    private static final int MAX_EVENTS = 2_000;

    private final TreeMap<String, StoredItem> mItems = new TreeMap<>();
    private final Deque<StoreEvent> mEvents = new ArrayDeque<>();
    private long mCompactedRevision;
    private StoreRevision mRevision = StoreRevision.NONE;

    /** Replaces the contents by a snapshot; earlier changes are unavailable. */
    void load(List<StoredItem> items, StoreRevision revision) {
        mItems.clear();
        items.forEach(item -> mItems.put(item.key(), item));
        mEvents.clear();
        mCompactedRevision = revision.number();
        mRevision = revision;
    }

    /** Applies changes in order, up to a revision. */
    void apply(List<StoreEvent> events, StoreRevision revision) {
        for (StoreEvent event : events) {
            if (event instanceof StoreEvent.Written written) {
                mItems.put(event.key(), written.item());
            } else {
                mItems.remove(event.key());
            }
            mEvents.addLast(event);
        }
        if (revision.number() > mRevision.number()) {
            mRevision = revision;
        }
        while (mEvents.size() > MAX_EVENTS) {
            mCompactedRevision = revisionOf(mEvents.removeFirst());
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

    /** Returns the changes after a revision; empty if there are none yet. */
    Optional<WatchResponse> changesAfter(long revision) {
        if (revision < mCompactedRevision) {
            return Optional.of(new WatchResponse.Compacted(mRevision.epoch()));
        }
        List<StoreEvent> newer =
                mEvents.stream().filter(event -> revisionOf(event) > revision).toList();
        return newer.isEmpty()
                ? Optional.empty()
                : Optional.of(new WatchResponse.Changes(newer, mRevision));
    }

    private static long revisionOf(StoreEvent event) {
        if (event instanceof StoreEvent.Written written) {
            return written.item().revision();
        }
        return ((StoreEvent.Removed) event).revision();
    }
}
