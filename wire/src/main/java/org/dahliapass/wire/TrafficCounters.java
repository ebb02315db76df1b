package org.dahliapass.wire;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.dahliapass.wire.message.ReplyStatus;

/** Counters of messages and bytes by kind and direction, and of rejected messages. Thread-safe. */
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

    /** Returns the number of messages of a kind in a direction, without filtered ones. */
    public long messages(TrafficKind kind, Direction direction) {
        return mMessages.get(direction).get(kind).sum();
    }

    /** Returns the number of payload bytes of a kind in a direction. */
    public long bytes(TrafficKind kind, Direction direction) {
        return mBytes.get(direction).get(kind).sum();
    }

    /** Returns the number of incoming messages rejected for this reason. */
    public long refused(ReplyStatus reason) {
        return mRefused.get(reason).sum();
    }

    /** Returns the number of incoming messages that could not be decoded. */
    public long malformed() {
        return mMalformed.sum();
    }

    /** Returns the number of outgoing datagrams dropped because of their size. */
    public long oversized() {
        return mOversized.sum();
    }

    void count(TrafficKind kind, Direction direction, int bytes) {
        mMessages.get(direction).get(kind).increment();
        mBytes.get(direction).get(kind).add(bytes);
    }

    void countRejected(ReplyStatus reason) {
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
