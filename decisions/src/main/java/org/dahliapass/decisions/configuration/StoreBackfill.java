package org.dahliapass.decisions.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads one group from the store: the head, then the group's index, then the pointers of those of
 * its customers that are not in the head.
 *
 * <p>A change is written to a pointer before it leaves the head, so this order misses no change.
 */
final class StoreBackfill {
    private final CustomerGroup mGroup;
    private final Deque<StoreKey> mPendingKeys = new ArrayDeque<>();
    private final List<ChangeRecord> mPointerChanges = new ArrayList<>();
    private Head mHead = Head.EMPTY;
    private long mAttempt;
    private long mResponseDeadlineMillis = Long.MIN_VALUE;

    StoreBackfill(CustomerGroup group) {
        mGroup = group;
        mPendingKeys.add(StoreKey.HEAD);
        mPendingKeys.add(group.indexKey());
    }

    CustomerGroup group() {
        return mGroup;
    }

    /** Returns the head's number, as of which the snapshot is complete. */
    long through() {
        return mHead.number();
    }

    boolean isDone() {
        return mPendingKeys.isEmpty();
    }

    /** Returns the newest change of each customer of the group. */
    GroupSnapshot snapshot() {
        List<ChangeRecord> newest = new ArrayList<>(mPointerChanges);
        for (ChangeRecord record : mHead.ring()) {
            if (mHead.newestOf(record.customer()).orElseThrow().equals(record)) {
                newest.add(record);
            }
        }
        newest.removeIf(record -> !mGroup.contains(record));
        return new GroupSnapshot(mGroup, newest);
    }

    /** Returns the read that is due; repeats a read without a response. */
    Optional<FollowerAction> due(long nowMillis, long timeoutMillis, StoreReadLimiter limiter) {
        if (isDone() || nowMillis < mResponseDeadlineMillis || !limiter.tryAcquire(nowMillis)) {
            return Optional.empty();
        }
        mResponseDeadlineMillis = nowMillis + timeoutMillis;
        mAttempt = limiter.reads();
        return Optional.of(new FollowerAction.ReadStore(mPendingKeys.element(), mAttempt));
    }

    /**
     * Processes the value of the last read; ignores late values of earlier reads, because an index
     * that was read before the head may lack customers.
     */
    void onItem(FollowerAction.ReadStore read, Optional<StoreItem> item) {
        StoreKey key = read.key();
        if (read.attempt() != mAttempt || !key.equals(mPendingKeys.peek())) {
            return;
        }
        mPendingKeys.remove();
        mResponseDeadlineMillis = Long.MIN_VALUE;
        switch (key.kind()) {
            case HEAD -> mHead = OperationSearch.head(item);
            case CUSTOMERS -> item.map(CustomerIndex.class::cast).ifPresent(this::onIndex);
            case POINTER ->
                    OperationSearch.pointer(item)
                            .map(Pointer::newest)
                            .ifPresent(mPointerChanges::add);
            case TEXT -> throw new IllegalStateException("A backfill never reads texts.");
        }
    }

    private void onIndex(CustomerIndex index) {
        Set<String> customersInHead =
                mHead.ring().stream().map(ChangeRecord::customer).collect(Collectors.toSet());
        index.customers().stream()
                .filter(customer -> !customersInHead.contains(customer))
                .map(StoreKey::pointer)
                .forEach(mPendingKeys::add);
    }
}
