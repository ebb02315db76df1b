package org.dahliapass.gateway;

import java.util.List;
import org.dahliapass.platform.KeyValueStore.Consistency;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;

/**
 * All items of the store.
 *
 * @param items the items
 * @param revision the position from which changes continue
 * @param consistency the consistency of the read
 * @param knownBefore the position of this VM when it asked for the snapshot, in the newest epoch
 *     that the store had named by then
 */
record StoreSnapshot(
        List<StoredItem> items,
        StoreRevision revision,
        Consistency consistency,
        StoreRevision knownBefore) {
    StoreSnapshot {
        items = List.copyOf(items);
    }

    /**
     * Returns whether the store has proved that the position known before is not part of its
     * history: a linearizable read can't be older than what was known when it was sent.
     *
     * @param resolved the position of the snapshot with its epoch
     */
    boolean isAuthoritative(StoreRevision resolved) {
        return consistency == Consistency.LINEARIZABLE && resolved.compareTo(knownBefore) < 0;
    }
}
