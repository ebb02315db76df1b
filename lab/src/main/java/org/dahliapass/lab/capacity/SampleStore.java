package org.dahliapass.lab.capacity;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.StoreAction;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.StoreProtocol;
import org.dahliapass.decisions.configuration.SwapOutcome;
import org.dahliapass.registry.ConfigurationCodec;

/** A key-value table that counts calls and the bytes of the values in them. */
final class SampleStore {
    private record Entry(String text, long index) {}

    private final Map<StoreKey, Entry> mEntries = new HashMap<>();
    private long mIndex;
    private long mCalls;
    private long mWrites;
    private long mBytes;

    SampleStore(Head head) {
        put(StoreKey.HEAD, head);
    }

    /** Returns the calls so far. */
    long calls() {
        return mCalls;
    }

    /** Returns the writes among them. */
    long writes() {
        return mWrites;
    }

    /** Returns the bytes of all values read and written so far. */
    long bytes() {
        return mBytes;
    }

    /**
     * Carries out a machine's actions until it ends.
     *
     * @throws IllegalStateException unless it was accepted
     */
    void run(StoreProtocol machine) {
        StoreAction action = machine.start();
        while (!(action instanceof StoreAction.Finish)) {
            mCalls++;
            action =
                    action instanceof StoreAction.Read read
                            ? read(machine, read.key())
                            : machine.onSwap(swap((StoreAction.Swap) action));
        }
        AcceptOutcome outcome = ((StoreAction.Finish) action).outcome();
        if (!(outcome instanceof AcceptOutcome.Accepted)) {
            throw new IllegalStateException("The sample change was not accepted: " + outcome);
        }
    }

    private StoreAction read(StoreProtocol machine, StoreKey key) {
        Entry entry = mEntries.get(key);
        if (entry == null) {
            return machine.onRead(Optional.empty(), 0);
        }
        mBytes += bytes(entry.text());
        StoreItem item = ConfigurationCodec.decode(key, entry.text());
        return machine.onRead(Optional.of(item), entry.index());
    }

    private SwapOutcome swap(StoreAction.Swap swap) {
        mWrites++;
        Entry standing = mEntries.get(swap.key());
        long index = standing == null ? 0 : standing.index();
        if (index != swap.index()) {
            return SwapOutcome.CONFLICT;
        }
        put(swap.key(), swap.item());
        mBytes += bytes(mEntries.get(swap.key()).text());
        return SwapOutcome.SWAPPED;
    }

    private void put(StoreKey key, StoreItem item) {
        mIndex++;
        mEntries.put(key, new Entry(ConfigurationCodec.encode(item), mIndex));
    }

    private static long bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
