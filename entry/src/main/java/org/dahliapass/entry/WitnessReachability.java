package org.dahliapass.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.model.VmIdentity;

/**
 * Remembers which witnesses lately gave this VM no word, so that fresh tokens name others.
 *
 * <p>Guards against a cut between this VM and one other that the rest of the fleet doesn't see: the
 * other stays a member, and a token that names it leads to "not run" for as long as the cut lasts.
 * A witness that gave no word is passed over for a while; if there is no other, the one whose
 * silence is longest ago is named all the same. Safe for use by several threads.
 */
final class WitnessReachability {
    /** Then one operation tries the witness again. */
    static final long RETENTION_MILLIS = 30_000;

    private final Map<VmIdentity, Long> mTimeoutMillis = new ConcurrentHashMap<>();

    /** Takes that a witness answered. */
    void onReply(VmIdentity witness) {
        mTimeoutMillis.remove(witness);
    }

    /** Takes that a witness gave no word in time, and forgets those whose silence is long past. */
    void onTimeout(VmIdentity witness, long nowMillis) {
        mTimeoutMillis.values().removeIf(silentAt -> silentAt + RETENTION_MILLIS <= nowMillis);
        mTimeoutMillis.put(witness, nowMillis);
    }

    /** Returns when a witness last gave no word, in milliseconds; 0 if not lately. */
    long lastTimeoutMillis(VmIdentity witness, long nowMillis) {
        long silentAt = mTimeoutMillis.getOrDefault(witness, 0L);
        return nowMillis < silentAt + RETENTION_MILLIS ? silentAt : 0;
    }
}
