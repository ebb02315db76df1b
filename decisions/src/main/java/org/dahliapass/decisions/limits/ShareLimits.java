package org.dahliapass.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.dahliapass.model.routing.RateLimit;

/** A token bucket per customer with this VM's share of the limit. */
final class ShareLimits implements SharedLimits {
    private final ShareSource mShares;
    private final long mStartMillis;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private double mPart = 1;

    ShareLimits(ShareSource shares, long startMillis) {
        mShares = shares;
        mStartMillis = startMillis;
    }

    @Override
    public void onVms(List<String> vms, double part, long nowMillis) {
        mPart = part;
        mShares.onVms(vms, nowMillis);
    }

    @Override
    public OptionalLong tryAcquire(
            String customer, RateLimit limit, double minCapacity, long nowMillis) {
        Entry entry = mEntries.computeIfAbsent(customer, unused -> new Entry(mStartMillis));
        double share = mPart * mShares.share(customer, nowMillis);
        entry.mBucket.refill(
                share * limit.requestsPerSecond(),
                Math.max(minCapacity, share * limit.burst()),
                nowMillis);
        entry.mDemand.onRequest(nowMillis);
        boolean isAvailable = entry.mBucket.tokens() >= 1;
        if (isAvailable) {
            entry.mBucket.remove(1);
        }
        mShares.onDemand(
                customer,
                entry.mDemand.requestsPerSecond(nowMillis),
                entry.mBucket.tokens() < 1,
                nowMillis);
        return isAvailable ? OptionalLong.empty() : OptionalLong.of(entry.mBucket.millisUntil(1));
    }

    @Override
    public void release(String customer) {
        Entry entry = mEntries.get(customer);
        if (entry != null) {
            entry.mBucket.restore(1);
        }
    }

    @Override
    public List<LimitMessage> poll(long nowMillis) {
        return mShares.poll(nowMillis);
    }

    @Override
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        return mShares.onMessage(message, nowMillis);
    }

    @Override
    public boolean isActive() {
        return mShares.isActive();
    }

    @Override
    public void evictIdle(long nowMillis) {
        mEntries.values().removeIf(entry -> entry.mBucket.isFull(nowMillis));
    }

    @Override
    public int size() {
        return mEntries.size();
    }

    private static final class Entry {
        private final TokenBucket mBucket;
        private final DemandMeter mDemand = new DemandMeter();

        private Entry(long startMillis) {
            mBucket = new TokenBucket(FleetRateLimiter.INITIAL_TOKENS, startMillis);
        }
    }
}
