package org.dahliapass.decisions.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The templates that are active on this VM, and a cache of texts that a watcher keeps for its
 * peers.
 */
class ActiveTemplates {
    private record ActiveTemplate(long number, String digest, String text) {}

    private record TextKey(String customer, String digest) {}

    private final Function<String, Optional<String>> mValidator;
    private final int mCacheSize;
    private final Map<String, ActiveTemplate> mActive = new HashMap<>();
    private final Map<String, Long> mRejectedNumbers = new HashMap<>();
    private final Map<TextKey, String> mCache = new LinkedHashMap<>();
    private long mRejections;

    ActiveTemplates(Function<String, Optional<String>> validator, int cacheSize) {
        mValidator = validator;
        mCacheSize = cacheSize;
    }

    final int size() {
        return mActive.size();
    }

    final long rejected() {
        return mRejections;
    }

    final Optional<Long> number(String customer) {
        return Optional.ofNullable(mActive.get(customer)).map(ActiveTemplate::number);
    }

    final Optional<String> text(String customer, String digest) {
        ActiveTemplate active = mActive.get(customer);
        if (active != null && active.digest().equals(digest)) {
            return Optional.of(active.text());
        }
        return Optional.ofNullable(mCache.get(new TextKey(customer, digest)));
    }

    final void cache(String customer, String digest, String text) {
        mCache.put(new TextKey(customer, digest), text);
        if (mCache.size() > mCacheSize) {
            mCache.remove(mCache.keySet().iterator().next());
        }
    }

    /** Returns whether a change is newer than the active one and the last rejected one. */
    boolean isNewer(ChangeRecord record) {
        ActiveTemplate active = mActive.get(record.customer());
        return (active == null || record.number() > active.number())
                && record.number() > mRejectedNumbers.getOrDefault(record.customer(), 0L);
    }

    /**
     * Activates a template if it is newer and valid.
     *
     * <p>If the text is invalid, for example because a later release accepted it, the previous
     * template stays active.
     */
    final List<FollowerAction> activate(ChangeRecord record, String text) {
        if (!isNewer(record)) {
            return List.of();
        }
        String customer = record.customer();
        Optional<String> error = mValidator.apply(text);
        if (error.isPresent()) {
            mRejectedNumbers.put(customer, record.number());
            mRejections++;
            return List.of(new FollowerAction.Reject(customer, record.number(), error.get()));
        }
        mActive.put(customer, new ActiveTemplate(record.number(), record.digest(), text));
        return List.of(new FollowerAction.Apply(customer, record.number(), text));
    }

    /** Removes a customer's template; returns whether there was one. */
    final boolean release(String customer) {
        mRejectedNumbers.remove(customer);
        return mActive.remove(customer) != null;
    }
}
