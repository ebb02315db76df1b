package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/** Looks for texts: each source in turn, then the store, then from the start again. */
final class TextFetcher {
    private static final class Want {
        private final ChangeRecord mRecord;
        private List<VmIdentity> mSources = List.of();
        private int mNext;
        private boolean mStarted;
        private long mAskedUntil = Long.MIN_VALUE;

        Want(ChangeRecord record) {
            mRecord = record;
        }
    }

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final Map<String, Want> mWants = new LinkedHashMap<>();

    TextFetcher(FollowerSettings settings, FollowerPeers peers) {
        mSettings = settings;
        mPeers = peers;
    }

    int size() {
        return mWants.size();
    }

    boolean isRequested(ChangeRecord record) {
        Want want = mWants.get(record.customer());
        return want != null && want.mRecord.equals(record);
    }

    /** Looks for this text in place of the one wanted until now. */
    void request(ChangeRecord record) {
        mWants.put(record.customer(), new Want(record));
    }

    void cancel(String customer) {
        mWants.remove(customer);
    }

    /** Returns the change whose text this is if it is still wanted, and looks no further. */
    Optional<ChangeRecord> complete(String customer, String digest) {
        Want want = mWants.get(customer);
        if (want == null || !want.mRecord.digest().equals(digest)) {
            return Optional.empty();
        }
        mWants.remove(customer);
        return Optional.of(want.mRecord);
    }

    /** Lets the next source be asked at once. */
    void retryNextSource(String customer, String digest) {
        Want want = mWants.get(customer);
        if (want != null && want.mRecord.digest().equals(digest)) {
            want.mAskedUntil = Long.MIN_VALUE;
        }
    }

    /** Returns what to ask now, within the bound on texts in flight. */
    List<FollowerAction> due(long nowMillis, StoreReadLimiter budget) {
        List<FollowerAction> actions = new ArrayList<>();
        long inFlight = mWants.values().stream().filter(w -> w.mAskedUntil > nowMillis).count();
        for (Want want : mWants.values()) {
            if (inFlight >= mSettings.maxTextsInFlight()) {
                break;
            }
            if (want.mAskedUntil <= nowMillis) {
                ask(want, nowMillis, budget).ifPresent(actions::add);
                inFlight++;
            }
        }
        return actions;
    }

    private Optional<FollowerAction> ask(Want want, long nowMillis, StoreReadLimiter budget) {
        ChangeRecord record = want.mRecord;
        if (!want.mStarted) {
            want.mStarted = true;
            want.mNext = 0;
            want.mSources = mPeers.textSources(record);
        }
        if (want.mNext < want.mSources.size()) {
            VmIdentity source = want.mSources.get(want.mNext);
            want.mNext++;
            want.mAskedUntil = nowMillis + mSettings.responseTimeoutMillis();
            return Optional.of(
                    new FollowerAction.FetchText(source, record.customer(), record.digest()));
        }
        if (!budget.tryAcquire(nowMillis)) {
            return Optional.empty();
        }
        want.mStarted = false;
        want.mAskedUntil = nowMillis + mSettings.responseTimeoutMillis();
        return Optional.of(
                new FollowerAction.ReadStore(
                        StoreKey.text(record.customer(), record.digest()), budget.reads()));
    }
}
