package org.dahliapass.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.dahliapass.kernel.JsonObject;

/** The time that a request has waited on this VM, by what it waited for. */
final class WaitLog {
    private final Map<Cause, Long> mMillis = new EnumMap<>(Cause.class);
    private Cause mCurrent;
    private long mStartMillis;

    /** What a request waits for before it is sent to a target. */
    enum Cause {
        /** The rest of its body. */
        BODY,
        /** The newest configuration and targets. */
        CONFIGURATION,
        /** The traffic thread, behind requests that were read before. */
        THREAD,
        /** The end of another request with the same digest. */
        DIGEST,
        /** A free slot of a target. */
        SLOT
    }

    /** Starts to wait; ends the wait before, if any. */
    void start(Cause cause, long nowMillis) {
        end(nowMillis);
        mCurrent = cause;
        mStartMillis = nowMillis;
    }

    /** Ends the current wait, if any. */
    void end(long nowMillis) {
        if (mCurrent == null) {
            return;
        }
        mMillis.merge(mCurrent, nowMillis - mStartMillis, Long::sum);
        mCurrent = null;
    }

    /** Returns the waits that took time, in milliseconds, with the current one. */
    JsonObject toJson(long nowMillis) {
        JsonObject waits = new JsonObject();
        for (Cause cause : Cause.values()) {
            long millis = mMillis.getOrDefault(cause, 0L);
            if (cause == mCurrent) {
                millis += nowMillis - mStartMillis;
            }
            if (millis > 0) {
                waits.put(cause.name().toLowerCase(Locale.ROOT), millis);
            }
        }
        return waits;
    }
}
