package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * The time window in which a VM accepts a key and keeps its record, by its own clock.
 *
 * <p>A record is evicted only when the same clock refuses its key, so safety never depends on the
 * clocks of two VMs.
 *
 * @param maxClockSkewMillis maximum time by which a key's issue time may lie ahead of the clock, in
 *     milliseconds
 * @param retentionMillis time after its issue during which a key is accepted and kept, in
 *     milliseconds
 */
public record RetentionWindow(long maxClockSkewMillis, long retentionMillis) {

    /** Returns why a key with the issue time is refused now; empty if it is accepted. */
    public Optional<UnknownReason> refusal(long issuedMillis, long nowMillis) {
        if (isExpired(issuedMillis, nowMillis)) {
            return Optional.of(UnknownReason.EXPIRED);
        }
        if (issuedMillis - nowMillis > maxClockSkewMillis) {
            return Optional.of(UnknownReason.NOT_YET_VALID);
        }
        return Optional.empty();
    }

    /** Returns whether keys with the issue time are refused for good. */
    public boolean isExpired(long issuedMillis, long nowMillis) {
        return nowMillis - issuedMillis > retentionMillis;
    }
}
