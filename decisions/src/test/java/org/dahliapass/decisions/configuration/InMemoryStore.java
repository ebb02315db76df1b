package org.dahliapass.decisions.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A store in memory with compare-and-swap by index. */
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

    /** Does an action and returns the machine's next one. */
    StoreAction answer(StoreProtocol machine, StoreAction action) {
        if (action instanceof StoreAction.Read read) {
            return machine.onRead(item(read.key()), index(read.key()));
        }
        return machine.onSwap(apply((StoreAction.Swap) action));
    }

    /** Answers all actions from one on until the machine finishes. */
    AcceptOutcome finish(StoreProtocol machine, StoreAction from) {
        StoreAction action = from;
        while (!(action instanceof StoreAction.Finish)) {
            action = answer(machine, action);
        }
        return ((StoreAction.Finish) action).outcome();
    }

    AcceptOutcome run(StoreProtocol machine) {
        return finish(machine, machine.start());
    }
}
