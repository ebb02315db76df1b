package org.dahliapass.wire;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.dahliapass.wire.message.ReplyStatus;

/** Counts messages and bytes by kind and direction, and what was refused; safe for any thread. */
public final class TrafficCounters {
    private final Map<Direction, Map<TrafficKind, LongAdder>> mMessages = byDirection();
    private final Map<Direction, Map<TrafficKind, LongAdder>> mBytes = byDirection();
    private final Map<ReplyStatus, LongAdder> mRefused = new EnumMap<>(ReplyStatus.class);
    private final LongAdder mMalformed = new LongAdder();
    private final LongAdder mOversized = new LongAdder();

    TrafficCounters() {
        for (ReplyStatus status : ReplyStatus.values()) {
            mRefused.put(status, new LongAdder());
        }
    }

    /** Returns how many messages of a kind went that way; filtered ones don't count. */
    public long messages(TrafficKind kind, Direction direction) {
        return mMessages.get(direction).get(kind).sum();
    }

    /** Returns how many bytes of payload of a kind went that way. */
    public long bytes(TrafficKind kind, Direction direction) {
        return mBytes.get(direction).get(kind).sum();
    }

    /** Returns how many incoming messages were refused for this reason. */
    public long refused(ReplyStatus reason) {
        return mRefused.get(reason).sum();
    }

    /** Returns how many incoming datagrams weren't messages at all. */
    public long malformed() {
        return mMalformed.sum();
    }

    /** Returns how many outgoing datagrams were dropped since they were too large. */
    public long oversized() {
        return mOversized.sum();
    }

    void count(TrafficKind kind, Direction direction, int bytes) {
        mMessages.get(direction).get(kind).increment();
        mBytes.get(direction).get(kind).add(bytes);
    }

    void countRefused(ReplyStatus reason) {
        mRefused.get(reason).increment();
    }

    void countMalformed() {
        mMalformed.increment();
    }

    void countOversized() {
        mOversized.increment();
    }

    private static Map<Direction, Map<TrafficKind, LongAdder>> byDirection() {
        Map<Direction, Map<TrafficKind, LongAdder>> adders = new EnumMap<>(Direction.class);
        for (Direction direction : Direction.values()) {
            Map<TrafficKind, LongAdder> byKind = new EnumMap<>(TrafficKind.class);
            for (TrafficKind kind : TrafficKind.values()) {
                byKind.put(kind, new LongAdder());
            }
            adders.put(direction, byKind);
        }
        return adders;
    }
}
