package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/**
 * Fetches texts from each source in turn, then from the store, then from the first source again.
 */
final class TextFetcher {
    private static final class Fetch {
        private final ChangeRecord mRecord;
        private List<VmIdentity> mSources = List.of();
        private int mNextSource;
        private boolean mStarted;
        private long mResponseDeadlineMillis = Long.MIN_VALUE;

        Fetch(ChangeRecord record) {
            mRecord = record;
        }
    }

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final Map<String, Fetch> mFetches = new LinkedHashMap<>();

    TextFetcher(FollowerSettings settings, FollowerPeers peers) {
        mSettings = settings;
        mPeers = peers;
    }

    int size() {
        return mFetches.size();
    }

    boolean isRequested(ChangeRecord record) {
        Fetch fetch = mFetches.get(record.customer());
        return fetch != null && fetch.mRecord.equals(record);
    }

    /** Starts to fetch a change's text, in place of the customer's previous fetch. */
    void request(ChangeRecord record) {
        mFetches.put(record.customer(), new Fetch(record));
    }

    void cancel(String customer) {
        mFetches.remove(customer);
    }

    /** Ends the fetch of a text and returns its change; empty if the text is not being fetched. */
    Optional<ChangeRecord> complete(String customer, String digest) {
        Fetch fetch = mFetches.get(customer);
        if (fetch == null || !fetch.mRecord.digest().equals(digest)) {
            return Optional.empty();
        }
        mFetches.remove(customer);
        return Optional.of(fetch.mRecord);
    }

    /** Ends the wait for the current source, so that the next one is tried. */
    void retryNextSource(String customer, String digest) {
        Fetch fetch = mFetches.get(customer);
        if (fetch != null && fetch.mRecord.digest().equals(digest)) {
            fetch.mResponseDeadlineMillis = Long.MIN_VALUE;
        }
    }

    /** Returns the fetches that are due, up to the maximum number in flight. */
    List<FollowerAction> due(long nowMillis, StoreReadLimiter limiter) {
        List<FollowerAction> actions = new ArrayList<>();
        long inFlight =
                mFetches.values().stream()
                        .filter(fetch -> fetch.mResponseDeadlineMillis > nowMillis)
                        .count();
        for (Fetch fetch : mFetches.values()) {
            if (inFlight >= mSettings.maxTextsInFlight()) {
                break;
            }
            if (fetch.mResponseDeadlineMillis <= nowMillis) {
                nextAction(fetch, nowMillis, limiter).ifPresent(actions::add);
                inFlight++;
            }
        }
        return actions;
    }

    private Optional<FollowerAction> nextAction(
            Fetch fetch, long nowMillis, StoreReadLimiter limiter) {
        ChangeRecord record = fetch.mRecord;
        if (!fetch.mStarted) {
            fetch.mStarted = true;
            fetch.mNextSource = 0;
            fetch.mSources = mPeers.textSources(record);
        }
        if (fetch.mNextSource < fetch.mSources.size()) {
            VmIdentity source = fetch.mSources.get(fetch.mNextSource);
            fetch.mNextSource++;
            fetch.mResponseDeadlineMillis = nowMillis + mSettings.responseTimeoutMillis();
            return Optional.of(
                    new FollowerAction.FetchText(source, record.customer(), record.digest()));
        }
        if (!limiter.tryAcquire(nowMillis)) {
            return Optional.empty();
        }
        fetch.mStarted = false;
        fetch.mResponseDeadlineMillis = nowMillis + mSettings.responseTimeoutMillis();
        return Optional.of(
                new FollowerAction.ReadStore(
                        StoreKey.text(record.customer(), record.digest()), limiter.reads()));
    }
}
