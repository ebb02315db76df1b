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
 * its customers that the head doesn't tell of.
 *
 * <p>The order matters: a change is in a pointer before it leaves the head, so what the head does
 * not show is in a pointer that is read later.
 */
final class StoreBackfill {
    private final CustomerGroup mGroup;
    private final Deque<StoreKey> mToRead = new ArrayDeque<>();
    private final List<ChangeRecord> mFound = new ArrayList<>();
    private Head mHead = Head.EMPTY;
    private long mAttempt;
    private long mAskedUntil = Long.MIN_VALUE;

    StoreBackfill(CustomerGroup group) {
        mGroup = group;
        mToRead.add(StoreKey.HEAD);
        mToRead.add(group.indexKey());
    }

    CustomerGroup group() {
        return mGroup;
    }

    /** Returns the head's number: the group is known whole as of it. */
    long through() {
        return mHead.number();
    }

    boolean isDone() {
        return mToRead.isEmpty();
    }

    /** Returns the newest changes of the group's customers. */
    GroupSnapshot snapshot() {
        List<ChangeRecord> newest = new ArrayList<>(mFound);
        for (ChangeRecord record : mHead.ring()) {
            if (mHead.newestOf(record.customer()).orElseThrow().equals(record)) {
                newest.add(record);
            }
        }
        newest.removeIf(record -> !mGroup.contains(record));
        return new GroupSnapshot(mGroup, newest);
    }

    /** Returns the read to do now; a read without an answer is repeated. */
    Optional<FollowerAction> due(long nowMillis, long answerMillis, StoreReadLimiter budget) {
        if (isDone() || nowMillis < mAskedUntil || !budget.tryAcquire(nowMillis)) {
            return Optional.empty();
        }
        mAskedUntil = nowMillis + answerMillis;
        mAttempt = budget.reads();
        return Optional.of(new FollowerAction.ReadStore(mToRead.element(), mAttempt));
    }

    /**
     * Takes a value if it is the one that was asked for last.
     *
     * <p>Guards against the late answer to an earlier read of the same key: an index from before a
     * customer was entered would be taken for one read after the head, which shows as a template
     * that this VM never gets. It holds because each read has its own attempt number.
     */
    void onItem(FollowerAction.ReadStore read, Optional<StoreItem> item) {
        StoreKey key = read.key();
        if (read.attempt() != mAttempt || !key.equals(mToRead.peek())) {
            return;
        }
        mToRead.remove();
        mAskedUntil = Long.MIN_VALUE;
        switch (key.kind()) {
            case HEAD -> mHead = OperationSearch.head(item);
            case CUSTOMERS -> item.map(CustomerIndex.class::cast).ifPresent(this::onIndex);
            case POINTER ->
                    OperationSearch.pointer(item).map(Pointer::newest).ifPresent(mFound::add);
            case TEXT -> throw new IllegalStateException("No text is asked for.");
        }
    }

    private void onIndex(CustomerIndex index) {
        Set<String> inHead =
                mHead.ring().stream().map(ChangeRecord::customer).collect(Collectors.toSet());
        index.customers().stream()
                .filter(customer -> !inHead.contains(customer))
                .map(StoreKey::pointer)
                .forEach(mToRead::add);
    }
}
