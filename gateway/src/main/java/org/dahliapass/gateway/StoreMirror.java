package org.dahliapass.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;

/**
 * A copy of the store with its newest changes, from which other VMs read.
 *
 * <p>Not safe for use by several threads: the control thread owns it.
 */
final class StoreMirror {
    /** Changes that are kept for VMs that follow this copy; they ask every second. */
    private static final int KEPT_EVENTS = 2_000;

    private final TreeMap<String, StoredItem> mItems = new TreeMap<>();
    private final Deque<StoreEvent> mEvents = new ArrayDeque<>();
    private long mForgottenRevision;
    private long mRevision;

    /** Takes a whole read of the store; the changes before it are unknown. */
    void load(List<StoredItem> items, long revision) {
        mItems.clear();
        items.forEach(item -> mItems.put(item.key(), item));
        mEvents.clear();
        mForgottenRevision = revision;
        mRevision = revision;
    }

    /** Takes changes in order, up to a revision. */
    void apply(List<StoreEvent> events, long revision) {
        for (StoreEvent event : events) {
            if (event instanceof StoreEvent.Written written) {
                mItems.put(event.key(), written.item());
            } else {
                mItems.remove(event.key());
            }
            mEvents.addLast(event);
        }
        mRevision = Math.max(mRevision, revision);
        while (mEvents.size() > KEPT_EVENTS) {
            mForgottenRevision = revisionOf(mEvents.removeFirst());
        }
    }

    /** Returns whether anything was read yet. */
    boolean isLoaded() {
        return mRevision > 0;
    }

    /** Returns all that is known. */
    RangePage snapshot() {
        return new RangePage(new ArrayList<>(mItems.values()), false, mRevision);
    }

    /** Returns the changes after a revision; empty if there is none yet. */
    Optional<WatchResponse> changesAfter(long revision) {
        if (revision < mForgottenRevision) {
            return Optional.of(new WatchResponse.Compacted());
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
