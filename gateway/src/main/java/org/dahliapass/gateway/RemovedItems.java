package org.dahliapass.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dahliapass.platform.ItemKind;
import org.dahliapass.platform.StoredItem;

/**
 * The items that were removed lately, so that a store that is restored from an older copy doesn't
 * bring them back.
 *
 * <p>Not thread-safe.
 */
final class RemovedItems {
    /** Exceeds the age of a copy from which the store is restored, which is some seconds. */
    private static final long RETENTION_MILLIS = 60_000;

    /** The removed items by key, oldest removal first. */
    private final Map<String, RemovedItem> mItems = new LinkedHashMap<>();

    /**
     * A removed item.
     *
     * @param item its last value
     * @param epoch the epoch in which it was removed
     * @param isLost whether it is only missing in a restored store, and may be written again as it
     *     was
     * @param removedMillis the time of the removal, in milliseconds
     */
    private record RemovedItem(StoredItem item, long epoch, boolean isLost, long removedMillis) {}

    /** Records the removal of an item. */
    void add(StoredItem item, long epoch, long nowMillis) {
        put(new RemovedItem(item, epoch, false, nowMillis));
    }

    /** Records that a restored store lacks an item. */
    void addLost(StoredItem item, long epoch, long nowMillis) {
        put(new RemovedItem(item, epoch, true, nowMillis));
    }

    private void put(RemovedItem removed) {
        evictExpired(removed.removedMillis());
        mItems.remove(removed.item().key());
        mItems.put(removed.item().key(), removed);
    }

    /** Forgets a removal, because the item was written again. */
    void remove(String key) {
        mItems.remove(key);
    }

    /**
     * Returns whether a value was known, or known to be outdated, before its item was removed.
     *
     * @param currentEpoch the epoch of the history in which the value is present; in the epoch of
     *     the removal, the same value was written again
     */
    boolean contains(StoredItem item, long currentEpoch, long nowMillis) {
        evictExpired(nowMillis);
        RemovedItem removed = mItems.get(item.key());
        if (removed == null) {
            return false;
        }
        boolean isSameWrite =
                item.revision() == removed.item().revision()
                        && item.encoded().equals(removed.item().encoded());
        boolean mayBeWrittenAgain = removed.isLost() || removed.epoch() == currentEpoch;
        return (isSameWrite && !mayBeWrittenAgain) || ItemKind.isOlder(item, removed.item());
    }

    private void evictExpired(long nowMillis) {
        Iterator<RemovedItem> items = mItems.values().iterator();
        while (items.hasNext() && items.next().removedMillis() + RETENTION_MILLIS <= nowMillis) {
            items.remove();
        }
    }
}
