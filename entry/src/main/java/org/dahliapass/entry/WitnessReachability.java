package org.dahliapass.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.model.VmIdentity;

/**
 * The witnesses that recently did not reply to this VM, so that new tokens name others.
 *
 * <p>Covers a network partition between two VMs that the rest of the fleet does not detect: a token
 * that names the unreachable witness would lead to "not run" for as long as it lasts. If all
 * witnesses are unreachable, the one with the oldest timeout is used. Thread-safe.
 */
final class WitnessReachability {
    /** How long a timeout counts; then the witness is used again. */
    static final long RETENTION_MILLIS = 30_000;

    private final Map<VmIdentity, Long> mTimeoutMillis = new ConcurrentHashMap<>();

    /** Records a reply of a witness. */
    void onReply(VmIdentity witness) {
        mTimeoutMillis.remove(witness);
    }

    /** Records a timeout of a witness and evicts expired timeouts. */
    void onTimeout(VmIdentity witness, long nowMillis) {
        mTimeoutMillis
                .values()
                .removeIf(timeoutMillis -> timeoutMillis + RETENTION_MILLIS <= nowMillis);
        mTimeoutMillis.put(witness, nowMillis);
    }

    /**
     * Returns when a witness last timed out, in milliseconds since the epoch; 0 if not recently.
     */
    long lastTimeoutMillis(VmIdentity witness, long nowMillis) {
        long timeoutMillis = mTimeoutMillis.getOrDefault(witness, 0L);
        return nowMillis < timeoutMillis + RETENTION_MILLIS ? timeoutMillis : 0;
    }
}
