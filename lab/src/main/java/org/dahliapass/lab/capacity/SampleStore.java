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

/** An in-memory store that counts calls and value bytes. */
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

    /** Returns the number of calls. */
    long calls() {
        return mCalls;
    }

    /** Returns the number of write calls. */
    long writes() {
        return mWrites;
    }

    /** Returns the total bytes of the values read and written. */
    long bytes() {
        return mBytes;
    }

    /**
     * Runs a protocol until it finishes.
     *
     * @throws IllegalStateException unless the change is accepted
     */
    void run(StoreProtocol protocol) {
        StoreAction action = protocol.start();
        while (!(action instanceof StoreAction.Finish)) {
            mCalls++;
            action =
                    action instanceof StoreAction.Read read
                            ? read(protocol, read.key())
                            : protocol.onSwap(swap((StoreAction.Swap) action));
        }
        AcceptOutcome outcome = ((StoreAction.Finish) action).outcome();
        if (!(outcome instanceof AcceptOutcome.Accepted)) {
            throw new IllegalStateException("The sample change was not accepted: " + outcome);
        }
    }

    private StoreAction read(StoreProtocol protocol, StoreKey key) {
        Entry entry = mEntries.get(key);
        if (entry == null) {
            return protocol.onRead(Optional.empty(), 0);
        }
        mBytes += bytes(entry.text());
        StoreItem item = ConfigurationCodec.decode(key, entry.text());
        return protocol.onRead(Optional.of(item), entry.index());
    }

    private SwapOutcome swap(StoreAction.Swap swap) {
        mWrites++;
        Entry current = mEntries.get(swap.key());
        long index = current == null ? 0 : current.index();
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
