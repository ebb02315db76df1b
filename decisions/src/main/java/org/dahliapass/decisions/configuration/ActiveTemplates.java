package org.dahliapass.decisions.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** The templates that this VM serves by, and a few texts that a watcher keeps for its peers. */
class ActiveTemplates {
    private record InForce(long number, String digest, String text) {}

    private record TextKey(String customer, String digest) {}

    private final Function<String, Optional<String>> mCheck;
    private final int mCacheSize;
    private final Map<String, InForce> mInForce = new HashMap<>();
    private final Map<String, Long> mRejected = new HashMap<>();
    private final Map<TextKey, String> mCache = new LinkedHashMap<>();
    private long mRejections;

    ActiveTemplates(Function<String, Optional<String>> check, int cacheSize) {
        mCheck = check;
        mCacheSize = cacheSize;
    }

    final int size() {
        return mInForce.size();
    }

    final long rejected() {
        return mRejections;
    }

    final Optional<Long> number(String customer) {
        return Optional.ofNullable(mInForce.get(customer)).map(InForce::number);
    }

    final Optional<String> text(String customer, String digest) {
        InForce inForce = mInForce.get(customer);
        if (inForce != null && inForce.digest().equals(digest)) {
            return Optional.of(inForce.text());
        }
        return Optional.ofNullable(mCache.get(new TextKey(customer, digest)));
    }

    final void cache(String customer, String digest, String text) {
        mCache.put(new TextKey(customer, digest), text);
        if (mCache.size() > mCacheSize) {
            mCache.remove(mCache.keySet().iterator().next());
        }
    }

    /** Returns whether a change is newer than the one in force and the last one that failed. */
    boolean isNewer(ChangeRecord record) {
        InForce inForce = mInForce.get(record.customer());
        return (inForce == null || record.number() > inForce.number())
                && record.number() > mRejected.getOrDefault(record.customer(), 0L);
    }

    /**
     * Puts a template in force if it is news and passes its check.
     *
     * <p>Guards against a text that a later release accepted and this one can't read, which would
     * show as a customer without any template. It holds because the last good one stays.
     */
    final List<FollowerAction> activate(ChangeRecord record, String text) {
        if (!isNewer(record)) {
            return List.of();
        }
        String customer = record.customer();
        Optional<String> problem = mCheck.apply(text);
        if (problem.isPresent()) {
            mRejected.put(customer, record.number());
            mRejections++;
            return List.of(new FollowerAction.Reject(customer, record.number(), problem.get()));
        }
        mInForce.put(customer, new InForce(record.number(), record.digest(), text));
        return List.of(new FollowerAction.Apply(customer, record.number(), text));
    }

    /** Lets go of a customer's template; returns whether there was one. */
    final boolean release(String customer) {
        mRejected.remove(customer);
        return mInForce.remove(customer) != null;
    }
}
