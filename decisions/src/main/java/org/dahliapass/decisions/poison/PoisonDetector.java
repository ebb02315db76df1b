package org.dahliapass.decisions.poison;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.RequestDigest;

/**
 * Detects poison messages, requests that crash the targets that run them, and decides how identical
 * requests may be treated.
 *
 * <p>Without quarantine, retries of such a request would crash a service's targets one after the
 * other. A single crash proves nothing, since targets also crash for other reasons; sequential
 * crashes without a response in between do.
 *
 * <p>Reports of the VMs of a fleet merge to the same state in any order and with any duplicates.
 * Memory is bounded: a digest is stored only after a target has crashed. Not thread-safe; confined
 * to the traffic thread.
 */
public final class PoisonDetector {
    /** How long a request stays suspected or quarantined after the last update on it. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /** Bounds the memory, at about 500 bytes per suspect. */
    private static final int MAX_SUSPECTS = 1_000;

    /**
     * How long a cleared suspect is kept, so that late reports of earlier crashes have no effect.
     */
    private static final long CLEARED_RETENTION_MILLIS = 10_000;

    /** Ordered by the latest update, oldest first. */
    private final Map<RequestDigest, Suspect> mSuspects = new LinkedHashMap<>();

    /** Separate from the suspects, so that new suspects don't evict quarantined requests. */
    private final Map<RequestDigest, Suspect> mQuarantined = new LinkedHashMap<>();

    /** Returns whether no request is suspected, so that no digests are needed. */
    public boolean isEmpty() {
        return mSuspects.isEmpty() && mQuarantined.isEmpty();
    }

    /** Returns the number of stored suspects and quarantined requests. */
    public int size() {
        return mSuspects.size() + mQuarantined.size();
    }

    /** Returns how a request may be treated. */
    public Treatment treatment(RequestDigest digest, long nowMillis) {
        evictExpired(nowMillis);
        Suspect suspect = find(digest);
        return suspect == null ? Treatment.USUAL : suspect.treatment();
    }

    /**
     * Returns how long a request stays quarantined without further updates, in milliseconds; 0 if
     * it isn't quarantined.
     */
    public long quarantineRemainingMillis(RequestDigest digest, long nowMillis) {
        Suspect suspect = mQuarantined.get(digest);
        return suspect == null
                ? 0
                : Math.max(0, suspect.lastUpdatedMillis() + RETENTION.toMillis() - nowMillis);
    }

    /** Returns the report on a request for other VMs. */
    public SuspectReport report(RequestDigest digest, long nowMillis) {
        Treatment treatment = treatment(digest, nowMillis);
        Suspect suspect = find(digest);
        if (suspect == null) {
            return new SuspectReport(digest, List.of(), false, false);
        }
        return new SuspectReport(
                digest,
                suspect.crashes(),
                treatment == Treatment.QUARANTINED,
                treatment == Treatment.USUAL);
    }

    /**
     * Records another VM's report on a request.
     *
     * @return whether the request is quarantined here but not at that VM
     */
    public boolean onPeerReport(SuspectReport report, long nowMillis) {
        RequestDigest digest = report.digest();
        if (report.answered()) {
            onAnswered(digest, nowMillis);
            return false;
        }
        report.crashes().forEach(crash -> onCrash(digest, crash, nowMillis));
        if (report.quarantined()) {
            onQuarantined(digest, nowMillis);
            return false;
        }
        return treatment(digest, nowMillis) == Treatment.QUARANTINED;
    }

    /**
     * Records a crash of a target during a request, seen by this VM or by another one.
     *
     * @return whether the crash was new
     */
    public boolean onCrash(RequestDigest digest, TargetCrash crash, long nowMillis) {
        evictExpired(nowMillis);
        Suspect suspect = find(digest);
        if (suspect == null) {
            suspect = new Suspect(nowMillis);
        }
        boolean added = suspect.onCrash(crash, nowMillis);
        if (added) {
            put(digest, suspect);
        }
        return added;
    }

    /**
     * Records that a target responded to a request, seen by this VM or by another one.
     *
     * @return whether the request was suspected or quarantined
     */
    public boolean onAnswered(RequestDigest digest, long nowMillis) {
        Suspect suspect = find(digest);
        if (suspect == null || suspect.treatment() == Treatment.USUAL) {
            return false;
        }
        suspect.onAnswered(nowMillis);
        put(digest, suspect);
        return true;
    }

    /**
     * Records that the fleet has quarantined a request, unless a target responded to it recently.
     */
    public void onQuarantined(RequestDigest digest, long nowMillis) {
        evictExpired(nowMillis);
        Suspect suspect = find(digest);
        if (suspect == null) {
            suspect = new Suspect(nowMillis);
        }
        boolean applies =
                suspect.treatment() != Treatment.QUARANTINED
                        && suspect.answeredMillis() < nowMillis - CLEARED_RETENTION_MILLIS;
        if (applies) {
            suspect.onQuarantined(nowMillis);
            put(digest, suspect);
        }
    }

    private Suspect find(RequestDigest digest) {
        Suspect quarantinedSuspect = mQuarantined.get(digest);
        return quarantinedSuspect == null ? mSuspects.get(digest) : quarantinedSuspect;
    }

    /** Stores a suspect as the most recently updated one of its treatment. */
    private void put(RequestDigest digest, Suspect suspect) {
        mSuspects.remove(digest);
        mQuarantined.remove(digest);
        boolean quarantined = suspect.treatment() == Treatment.QUARANTINED;
        Map<RequestDigest, Suspect> suspects = quarantined ? mQuarantined : mSuspects;
        suspects.put(digest, suspect);
        if (suspects.size() > MAX_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    private void evictExpired(long nowMillis) {
        evictExpired(mSuspects, nowMillis);
        evictExpired(mQuarantined, nowMillis);
    }

    private static void evictExpired(Map<RequestDigest, Suspect> suspects, long nowMillis) {
        Iterator<Suspect> iterator = suspects.values().iterator();
        while (iterator.hasNext()) {
            Suspect oldest = iterator.next();
            boolean cleared = oldest.treatment() == Treatment.USUAL;
            long retentionMillis = cleared ? CLEARED_RETENTION_MILLIS : RETENTION.toMillis();
            if (nowMillis - oldest.lastUpdatedMillis() <= retentionMillis) {
                return;
            }
            iterator.remove();
        }
    }
}
