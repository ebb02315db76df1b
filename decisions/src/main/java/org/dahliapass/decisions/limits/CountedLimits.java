package org.dahliapass.decisions.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.model.routing.RateLimit;

/**
 * Counts the requests that all VMs admit for the customers that need more than an even share.
 *
 * <p>A VM takes from the common count only while it has a recent report of every VM. A VM that is
 * cut off, and all others as long as they expect its reports, admit their even share.
 */
final class CountedLimits implements SharedLimits {
    /** How long a customer stays contended after a VM last wanted more than its share. */
    private static final long CONTENDED_MILLIS = 1_000;

    /** The number of report intervals after which a report is too old; allows for lost ones. */
    private static final double REPORT_EXPIRY_INTERVALS = 3.5;

    /** The interval of reports, at least, in milliseconds. */
    private static final double MIN_INTERVAL_MILLIS = 100;

    /** Bounds the reports that a VM sends and receives to 80 per second. */
    private static final double INTERVAL_MILLIS_PER_VM = 12.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String mSelf;
    private final long mStartMillis;
    private final RandomGenerator mRandom;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private Set<String> mVms = Set.of();
    private double mPart = 1;
    private int mContended;
    private long mPolledMillis = Long.MIN_VALUE / 2;

    CountedLimits(String self, long startMillis, RandomGenerator random) {
        mSelf = self;
        mStartMillis = startMillis;
        mRandom = random;
    }

    @Override
    public void onVms(List<String> vms, double part, long nowMillis) {
        if (vms.size() != mVms.size() || !mVms.containsAll(vms)) {
            mVms = new HashSet<>(vms);
        }
        mPart = part;
    }

    private double evenShare() {
        return 1.0 / Math.max(1, mVms.size());
    }

    /** Returns the interval of reports, in milliseconds. */
    private double intervalMillis() {
        return Math.max(MIN_INTERVAL_MILLIS, mVms.size() * INTERVAL_MILLIS_PER_VM);
    }

    @Override
    public OptionalLong tryAcquire(
            String customer, RateLimit limit, double minCapacity, long nowMillis) {
        Entry entry = entry(customer);
        entry.mDemand.onRequest(nowMillis);
        entry.refill(limit, minCapacity, nowMillis);
        OptionalLong wait =
                entry.isPooled(nowMillis) ? entry.takePooled(nowMillis) : entry.takeOwn();
        if (wait.isEmpty()) {
            entry.mAdmitted++;
        }
        if (entry.mOwn.tokens() < 1 && mVms.contains(mSelf)) {
            entry.mWantedMillis = nowMillis;
            entry.contend(nowMillis);
        }
        return wait;
    }

    private Entry entry(String customer) {
        return mEntries.computeIfAbsent(customer, unused -> new Entry());
    }

    @Override
    public void release(String customer) {
        Entry entry = mEntries.get(customer);
        if (entry == null) {
            return;
        }
        entry.mAdmitted--;
        entry.mOwn.restore(1);
        entry.mPool.restore(1);
    }

    @Override
    public List<LimitMessage> poll(long nowMillis) {
        List<LimitMessage> messages = new ArrayList<>();
        boolean isDue = nowMillis - mPolledMillis >= intervalMillis() - MIN_INTERVAL_MILLIS / 2;
        if (isDue) {
            mPolledMillis = nowMillis;
        }
        mContended = 0;
        mEntries.forEach(
                (customer, entry) -> {
                    if (!entry.isContended(nowMillis)) {
                        entry.leavePool(nowMillis);
                        return;
                    }
                    mContended++;
                    if (isDue || !entry.mIsAnnounced) {
                        messages.addAll(reports(customer, entry, nowMillis));
                    }
                });
        return messages;
    }

    private List<LimitMessage> reports(String customer, Entry entry, long nowMillis) {
        entry.mIsAnnounced = true;
        LimitMessage.Use use = entry.use(nowMillis);
        return mVms.stream()
                .filter(vm -> !vm.equals(mSelf))
                .map(vm -> new LimitMessage(mSelf, vm, customer, use))
                .toList();
    }

    @Override
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        if (!(message.content() instanceof LimitMessage.Use use)) {
            return List.of();
        }
        Entry entry = use.wanted() ? entry(message.customer()) : mEntries.get(message.customer());
        if (entry == null) {
            return List.of();
        }
        if (use.wanted()) {
            entry.contend(nowMillis);
        }
        entry.onUse(message.sender(), use, nowMillis);
        return entry.isContended(nowMillis) && !entry.mIsAnnounced
                ? reports(message.customer(), entry, nowMillis)
                : List.of();
    }

    @Override
    public boolean isActive() {
        return mContended > 0;
    }

    @Override
    public void evictIdle(long nowMillis) {
        mEntries.values()
                .removeIf(entry -> !entry.isContended(nowMillis) && entry.mOwn.isFull(nowMillis));
    }

    @Override
    public int size() {
        return mEntries.size();
    }

    /**
     * The use of another VM.
     *
     * @param use its latest report
     * @param receivedMillis when it arrived, in milliseconds
     */
    private record Peer(LimitMessage.Use use, long receivedMillis) {}

    /** The state of one active customer. */
    private final class Entry {
        private final DemandMeter mDemand = new DemandMeter();

        /** The tokens of this VM's even share. */
        private final TokenBucket mOwn =
                new TokenBucket(FleetRateLimiter.INITIAL_TOKENS, mStartMillis);

        /** The estimated tokens of all VMs together. */
        private final TokenBucket mPool = new TokenBucket(0, mStartMillis);

        private final Map<String, Peer> mPeers = new HashMap<>();
        private long mWantedMillis = Long.MIN_VALUE / 2;
        private long mContendedMillis = Long.MIN_VALUE / 2;
        private long mAdmitted;
        private boolean mIsPooled;
        private boolean mIsAnnounced;

        private void refill(RateLimit limit, double minCapacity, long nowMillis) {
            double share = mPart * evenShare();
            mOwn.refill(
                    share * limit.requestsPerSecond(),
                    Math.max(minCapacity, share * limit.burst()),
                    nowMillis);
            mPool.refill(limit.requestsPerSecond(), limit.burst(), nowMillis);
        }

        private boolean isContended(long nowMillis) {
            return nowMillis - mContendedMillis <= CONTENDED_MILLIS;
        }

        private void contend(long nowMillis) {
            if (!isContended(nowMillis)) {
                mContended++;
                mIsAnnounced = false;
            }
            mContendedMillis = nowMillis;
        }

        /** Joins or leaves the pool by whether the use of every VM is known. */
        private boolean isPooled(long nowMillis) {
            boolean isKnown = isContended(nowMillis) && isUseOfAllKnown(nowMillis);
            if (isKnown && !mIsPooled) {
                double tokens = mOwn.tokens();
                for (String vm : mVms) {
                    tokens += vm.equals(mSelf) ? 0 : mPeers.get(vm).use().tokens();
                }
                mPool.setTokens(tokens);
                mIsPooled = true;
            } else if (!isKnown) {
                leavePool(nowMillis);
            }
            return mIsPooled;
        }

        private boolean isUseOfAllKnown(long nowMillis) {
            long expiryMillis = (long) (REPORT_EXPIRY_INTERVALS * intervalMillis());
            for (String vm : mVms) {
                Peer peer = mPeers.get(vm);
                boolean isRecent =
                        peer != null && nowMillis - peer.receivedMillis() <= expiryMillis;
                if (!isRecent && !vm.equals(mSelf)) {
                    return false;
                }
            }
            return mVms.contains(mSelf);
        }

        private void leavePool(long nowMillis) {
            if (mIsPooled) {
                mIsPooled = false;
                mOwn.setTokens(Math.max(0, mPool.tokens()) * evenShare());
            }
            if (!isContended(nowMillis)) {
                mPeers.clear();
            }
        }

        private OptionalLong takeOwn() {
            if (mOwn.tokens() >= 1) {
                mOwn.remove(1);
                return OptionalLong.empty();
            }
            return OptionalLong.of(mOwn.millisUntil(1));
        }

        /**
         * Takes a token of the pool. While the pool holds fewer tokens than requests are expected
         * until the next reports, a request is admitted with the probability at which all VMs
         * together use up the tokens.
         */
        private OptionalLong takePooled(long nowMillis) {
            double expected =
                    Math.max(1, demandOfAll(nowMillis) * intervalMillis() / MILLIS_PER_SECOND);
            double tokens = mPool.tokens();
            boolean isAdmitted =
                    tokens >= expected || (tokens > 0 && mRandom.nextDouble() * expected < tokens);
            if (isAdmitted) {
                mPool.remove(1);
                // Keeps the customer contended while the pool is low.
                mOwn.setTokens(Math.min(mOwn.tokens(), Math.max(0, mPool.tokens())));
                return OptionalLong.empty();
            }
            return OptionalLong.of(mPool.millisUntil(expected));
        }

        private double demandOfAll(long nowMillis) {
            double demand = mDemand.requestsPerSecond(nowMillis);
            for (Peer peer : mPeers.values()) {
                demand += peer.use().requestsPerSecond();
            }
            return demand;
        }

        private LimitMessage.Use use(long nowMillis) {
            double tokens = mIsPooled ? Math.max(0, mPool.tokens()) * evenShare() : mOwn.tokens();
            return new LimitMessage.Use(
                    mDemand.requestsPerSecond(nowMillis),
                    nowMillis - mWantedMillis <= CONTENDED_MILLIS,
                    mStartMillis,
                    mAdmitted,
                    tokens);
        }

        private void onUse(String vm, LimitMessage.Use use, long nowMillis) {
            Peer previous = mPeers.put(vm, new Peer(use, nowMillis));
            if (!mIsPooled || previous == null) {
                return;
            }
            boolean isSameCount = previous.use().epoch() == use.epoch();
            long known = isSameCount ? previous.use().admitted() : 0;
            mPool.remove((double) (use.admitted() - known));
        }
    }
}
