package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * Bounds the time during which a key is taken and its record kept, by one VM's own clock.
 *
 * <p>A record is dropped only once the same clock also refuses its key, so no comparison between
 * the clocks of two VMs is ever relied on for safety.
 *
 * @param maxClockSkewMillis how far a key's birth may lie ahead of the clock, in milliseconds
 * @param retentionMillis how long after its birth a key is taken and kept, in milliseconds
 */
public record RetentionWindow(long maxClockSkewMillis, long retentionMillis) {

    /** Returns why a key born at the given time isn't taken now; empty if it is. */
    public Optional<UnknownReason> refusal(long bornMillis, long nowMillis) {
        if (isExpired(bornMillis, nowMillis)) {
            return Optional.of(UnknownReason.EXPIRED);
        }
        if (bornMillis - nowMillis > maxClockSkewMillis) {
            return Optional.of(UnknownReason.NOT_YET_VALID);
        }
        return Optional.empty();
    }

    /** Tells whether keys born at the given time are refused for good. */
    public boolean isExpired(long bornMillis, long nowMillis) {
        return nowMillis - bornMillis > retentionMillis;
    }
}
