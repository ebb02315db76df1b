package org.dahliapass.decisions.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An in-memory store with compare-and-swap by index. */
final class InMemoryStore {
    /** A value and the index of its last write. */
    record Entry(StoreItem item, long index) {}

    private final Map<StoreKey, Entry> mEntries = new HashMap<>();
    private long mIndex;

    Optional<StoreItem> item(StoreKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(Entry::item);
    }

    long index(StoreKey key) {
        return mEntries.containsKey(key) ? mEntries.get(key).index() : 0;
    }

    Head head() {
        return OperationSearch.head(item(StoreKey.HEAD));
    }

    SwapOutcome apply(StoreAction.Swap swap) {
        if (index(swap.key()) != swap.index()) {
            return SwapOutcome.CONFLICT;
        }
        mIndex++;
        mEntries.put(swap.key(), new Entry(swap.item(), mIndex));
        return SwapOutcome.SWAPPED;
    }

    /** Performs an action and returns the protocol's next one. */
    StoreAction perform(StoreProtocol protocol, StoreAction action) {
        if (action instanceof StoreAction.Read read) {
            return protocol.onRead(item(read.key()), index(read.key()));
        }
        return protocol.onSwap(apply((StoreAction.Swap) action));
    }

    /** Performs all actions from the given one until the protocol finishes. */
    AcceptOutcome runFrom(StoreProtocol protocol, StoreAction from) {
        StoreAction action = from;
        while (!(action instanceof StoreAction.Finish)) {
            action = perform(protocol, action);
        }
        return ((StoreAction.Finish) action).outcome();
    }

    AcceptOutcome run(StoreProtocol protocol) {
        return runFrom(protocol, protocol.start());
    }
}
