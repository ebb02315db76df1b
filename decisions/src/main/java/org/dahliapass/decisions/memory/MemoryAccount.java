package org.dahliapass.decisions.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * The bytes that this VM holds for requests, by reason. All calls are O(1).
 *
 * <p>Not thread-safe; confined to the traffic thread.
 */
public final class MemoryAccount {
    private final long mLimitBytes;
    private final Map<MemoryReason, Long> mHeld = new EnumMap<>(MemoryReason.class);
    private long mTotal;

    /**
     * Creates an empty account.
     *
     * @param limitBytes the memory that may be held, in bytes; {@link Long#MAX_VALUE} for no limit
     */
    public MemoryAccount(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Returns whether the account has a limit. */
    public boolean isLimited() {
        return mLimitBytes != Long.MAX_VALUE;
    }

    /** Returns the memory that may be held, in bytes. */
    public long limitBytes() {
        return mLimitBytes;
    }

    /** Returns the memory that is held, in bytes. */
    public long heldBytes() {
        return mTotal;
    }

    /** Returns the memory that is held for a reason, in bytes. */
    public long heldBytes(MemoryReason reason) {
        return mHeld.getOrDefault(reason, 0L);
    }

    /** Returns the held memory as a share of the limit; 0 without a limit. */
    public double level() {
        return isLimited() ? (double) mTotal / mLimitBytes : 0;
    }

    /** Adds bytes to the account until the returned holding is released. */
    public Holding hold(MemoryReason reason, long bytes) {
        Holding holding = new Holding(reason);
        holding.resize(bytes);
        return holding;
    }

    /** The part of the account that one body, response or connection holds. */
    public final class Holding {
        private final MemoryReason mReason;
        private long mBytes;
        private boolean mReleased;

        private Holding(MemoryReason reason) {
            mReason = reason;
        }

        /** Returns the bytes held; 0 once released. */
        public long bytes() {
            return mBytes;
        }

        /** Changes the number of bytes held; has no effect once released. */
        public void resize(long bytes) {
            if (mReleased) {
                return;
            }
            long change = bytes - mBytes;
            mBytes = bytes;
            mTotal += change;
            mHeld.merge(mReason, change, Long::sum);
        }

        /** Removes the bytes from the account; has no effect the second time. */
        public void release() {
            resize(0);
            mReleased = true;
        }
    }
}
