package org.dahliapass.decisions.poison;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.RequestDigest;

/**
 * Remembers under which requests targets ended, and says what may be done with others like them.
 *
 * <p>A request that ends each target that runs it takes a service down target by target, as its
 * caller, or a retry, brings it to the next. One end proves nothing, since targets end for other
 * reasons with requests in flight; ends in turn without an answer between do.
 *
 * <p>What the VMs of a fleet know merges in any order and any number of times to the same. Memory
 * is bounded whatever callers send: a digest takes a place only once a target has ended under it.
 * Not safe for use by several threads. A call costs O(1), but for a merge.
 */
public final class PoisonDetector {
    /** How long a request is suspected or quarantined after the last that was heard of it. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /** Places, of about 500 bytes each. */
    private static final int MOST_SUSPECTS = 1_000;

    /**
     * How long the answer to a suspect is remembered, so that late news of ends before it change
     * nothing. News that is older doesn't come.
     */
    private static final long ANSWER_MEMORY_MILLIS = 10_000;

    /** By the time of the newest end, oldest first. */
    private final Map<RequestDigest, Suspect> mSuspects = new LinkedHashMap<>();

    /** Kept apart, so that new suspects push out none that is proved. */
    private final Map<RequestDigest, Suspect> mQuarantined = new LinkedHashMap<>();

    /** Returns whether no request is suspected, so that none has to be digested. */
    public boolean isEmpty() {
        return mSuspects.isEmpty() && mQuarantined.isEmpty();
    }

    /** Returns how many requests have a place. */
    public int size() {
        return mSuspects.size() + mQuarantined.size();
    }

    /** Returns what may be done with a request. */
    public Treatment treatment(RequestDigest digest, long nowMillis) {
        dropOverdue(nowMillis);
        Suspect suspect = find(digest);
        return suspect == null ? Treatment.USUAL : suspect.treatment();
    }

    /**
     * Returns how long a request stays quarantined if nothing is heard of it, in milliseconds; 0 if
     * it isn't.
     */
    public long quarantineRemainingMillis(RequestDigest digest, long nowMillis) {
        Suspect suspect = mQuarantined.get(digest);
        return suspect == null
                ? 0
                : Math.max(0, suspect.lastUpdatedMillis() + RETENTION.toMillis() - nowMillis);
    }

    /** Returns what other VMs are to know of a request. */
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
     * Takes what another VM knows of a request.
     *
     * @return whether that VM lacks that the request is quarantined
     */
    public boolean onPeerReport(SuspectReport news, long nowMillis) {
        RequestDigest digest = news.digest();
        if (news.answered()) {
            onAnswered(digest, nowMillis);
            return false;
        }
        news.crashes().forEach(end -> onCrash(digest, end, nowMillis));
        if (news.quarantined()) {
            onQuarantined(digest, nowMillis);
            return false;
        }
        return treatment(digest, nowMillis) == Treatment.QUARANTINED;
    }

    /**
     * Takes the end of a target under a request, seen by this VM or by another one.
     *
     * @return whether it wasn't known
     */
    public boolean onCrash(RequestDigest digest, TargetCrash end, long nowMillis) {
        dropOverdue(nowMillis);
        Suspect suspect = find(digest);
        if (suspect == null) {
            suspect = new Suspect(nowMillis);
        }
        boolean isNew = suspect.onCrash(end, nowMillis);
        if (isNew) {
            put(digest, suspect);
        }
        return isNew;
    }

    /**
     * Takes that a target answered a request, seen by this VM or by another one.
     *
     * @return whether it was suspected or quarantined
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

    /** Takes that the fleet has quarantined a request, unless it was answered since. */
    public void onQuarantined(RequestDigest digest, long nowMillis) {
        dropOverdue(nowMillis);
        Suspect suspect = find(digest);
        if (suspect == null) {
            suspect = new Suspect(nowMillis);
        }
        boolean changes =
                suspect.treatment() != Treatment.QUARANTINED
                        && suspect.answeredMillis() < nowMillis - ANSWER_MEMORY_MILLIS;
        if (changes) {
            suspect.onQuarantined(nowMillis);
            put(digest, suspect);
        }
    }

    private Suspect find(RequestDigest digest) {
        Suspect quarantined = mQuarantined.get(digest);
        return quarantined == null ? mSuspects.get(digest) : quarantined;
    }

    /** Gives a suspect the newest place of those that are treated like it. */
    private void put(RequestDigest digest, Suspect suspect) {
        mSuspects.remove(digest);
        mQuarantined.remove(digest);
        boolean proved = suspect.treatment() == Treatment.QUARANTINED;
        Map<RequestDigest, Suspect> places = proved ? mQuarantined : mSuspects;
        places.put(digest, suspect);
        if (places.size() > MOST_SUSPECTS) {
            places.remove(places.keySet().iterator().next());
        }
    }

    private void dropOverdue(long nowMillis) {
        dropOverdue(mSuspects, nowMillis);
        dropOverdue(mQuarantined, nowMillis);
    }

    private static void dropOverdue(Map<RequestDigest, Suspect> places, long nowMillis) {
        Iterator<Suspect> oldestFirst = places.values().iterator();
        while (oldestFirst.hasNext()) {
            Suspect oldest = oldestFirst.next();
            boolean cleared = oldest.treatment() == Treatment.USUAL;
            long memoryMillis = cleared ? ANSWER_MEMORY_MILLIS : RETENTION.toMillis();
            if (nowMillis - oldest.lastUpdatedMillis() <= memoryMillis) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
