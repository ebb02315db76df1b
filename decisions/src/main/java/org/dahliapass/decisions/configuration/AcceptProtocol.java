package org.dahliapass.decisions.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The protocol that appends one change to the fleet-wide log.
 *
 * <p>Reads the head, checks that the change is based on the customer's newest one, writes the text,
 * the indexes and the pointers of changes that leave the ring, then swaps the head. Only the swap
 * of the head accepts the change; values that a crash leaves behind before it are harmless.
 */
public class AcceptProtocol implements StoreProtocol {
    /** Maximum number of failed store calls before the protocol gives up. */
    static final int MAX_FAILURES = 8;

    /** Maximum number of conflicts with other writers before the protocol gives up. */
    static final int MAX_CONFLICTS = 200;

    private enum State {
        READ_HEAD,
        READ_POINTER,
        PREPARE,
        SWAP_HEAD
    }

    /** A value that must be in the store before the head is swapped. */
    record Preparation(StoreKey key, MergeableItem item) {}

    private final AcceptRequest mRequest;
    private final int mRingCapacity;
    private final Set<Preparation> mDone = new HashSet<>();
    private Deque<Preparation> mPendingPreparations = new ArrayDeque<>();
    private State mState = State.READ_HEAD;
    private Head mHead = Head.EMPTY;
    private long mHeadIndex;
    private Optional<OperationHandle> mUnconfirmed = Optional.empty();
    private int mFailures;
    private int mConflicts;

    /**
     * Creates the protocol for one change.
     *
     * @param ringCapacity number of changes in the head's ring; {@link Head#RING_CAPACITY} in
     *     production
     */
    public AcceptProtocol(AcceptRequest request, int ringCapacity) {
        mRequest = request;
        mRingCapacity = ringCapacity;
    }

    @Override
    public final StoreAction start() {
        return readHead();
    }

    @Override
    public final StoreAction onRead(Optional<StoreItem> item, long index) {
        return switch (mState) {
            case READ_HEAD -> onHead(OperationSearch.head(item), index);
            case READ_POINTER -> decide(OperationSearch.pointer(item));
            case PREPARE -> swapPreparation(item, index);
            case SWAP_HEAD ->
                    throw new IllegalStateException("Unexpected read result in state SWAP_HEAD");
        };
    }

    @Override
    public final StoreAction onReadFailed() {
        return retryAfterFailure().orElseGet(this::readForState);
    }

    @Override
    public final StoreAction onSwap(SwapOutcome outcome) {
        return mState == State.SWAP_HEAD ? onHeadSwapped(outcome) : onPreparationSwapped(outcome);
    }

    /** Returns the handle of the head swap that is in progress or may have taken effect. */
    public final OperationHandle handle() {
        return new OperationHandle(
                mRequest.operationId(), mRequest.customer(), mHeadIndex, mHead.number() + 1);
    }

    /**
     * Returns the values that must be in the store before the head is swapped, in order.
     *
     * <p>A pointer is written while its change is still in the ring, so that no change is lost if
     * the writer crashes.
     */
    List<Preparation> preparations(Head head, int ringCapacity) {
        List<Preparation> all = new ArrayList<>();
        ChangeRecord next = mRequest.toRecord(head.number() + 1);
        TemplateText text = mRequest.text();
        all.add(new Preparation(StoreKey.text(mRequest.customer(), text.digest()), text));
        CustomerIndex index = CustomerIndex.of(mRequest.customer());
        if (next.provides()) {
            all.add(new Preparation(StoreKey.PROVIDERS, index));
        }
        for (ServiceUse use : mRequest.services()) {
            all.add(new Preparation(StoreKey.customers(use.service()), index));
        }
        for (ChangeRecord evicted : head.evictedBy(next, ringCapacity)) {
            all.add(new Preparation(StoreKey.pointer(evicted.customer()), Pointer.of(evicted)));
        }
        return all;
    }

    private StoreAction readHead() {
        mState = State.READ_HEAD;
        return new StoreAction.Read(StoreKey.HEAD);
    }

    private StoreAction readForState() {
        return switch (mState) {
            case READ_POINTER -> new StoreAction.Read(StoreKey.pointer(mRequest.customer()));
            case PREPARE -> new StoreAction.Read(mPendingPreparations.element().key());
            case READ_HEAD, SWAP_HEAD -> readHead();
        };
    }

    private StoreAction onHead(Head head, long index) {
        mHead = head;
        mHeadIndex = index;
        if (mUnconfirmed.isEmpty() && head.newestOf(mRequest.customer()).isPresent()) {
            return decide(Optional.empty());
        }
        mState = State.READ_POINTER;
        return readForState();
    }

    private StoreAction decide(Optional<Pointer> pointer) {
        Optional<Long> number = OperationSearch.numberOf(mRequest.operationId(), mHead, pointer);
        if (number.isPresent()) {
            return new StoreAction.Finish(new AcceptOutcome.Accepted(number.get()));
        }
        if (mUnconfirmed.isPresent() && mUnconfirmed.get().headIndex() == mHeadIndex) {
            return swapHead();
        }
        if (mUnconfirmed.isPresent() && mayHaveEvicted(pointer)) {
            return new StoreAction.Finish(new AcceptOutcome.Unknown(mUnconfirmed.get()));
        }
        mUnconfirmed = Optional.empty();
        Optional<ChangeRecord> newest =
                OperationSearch.newestOf(mRequest.customer(), mHead, pointer);
        if (newest.map(ChangeRecord::number).orElse(0L) != mRequest.baseNumber()) {
            return new StoreAction.Finish(new AcceptOutcome.Conflict(newest));
        }
        return prepare();
    }

    private boolean mayHaveEvicted(Optional<Pointer> pointer) {
        return pointer.isPresent() && pointer.get().mayHaveEvicted(mUnconfirmed.get().number());
    }

    private StoreAction prepare() {
        mPendingPreparations = new ArrayDeque<>(preparations(mHead, mRingCapacity));
        mPendingPreparations.removeAll(mDone);
        return nextPreparation();
    }

    private StoreAction nextPreparation() {
        if (mPendingPreparations.isEmpty()) {
            return swapHead();
        }
        mState = State.PREPARE;
        return readForState();
    }

    private StoreAction swapPreparation(Optional<StoreItem> current, long index) {
        Preparation preparation = mPendingPreparations.element();
        MergeableItem merged = preparation.item().mergedWith(current);
        if (current.isPresent() && current.get().equals(merged)) {
            return onPreparationDone();
        }
        return new StoreAction.Swap(preparation.key(), merged, index);
    }

    private StoreAction onPreparationSwapped(SwapOutcome outcome) {
        return switch (outcome) {
            case SWAPPED -> onPreparationDone();
            case CONFLICT -> retryAfterConflict().orElseGet(this::readForState);
            case UNKNOWN, NOT_WRITTEN -> retryAfterFailure().orElseGet(this::readForState);
        };
    }

    private StoreAction onPreparationDone() {
        mDone.add(mPendingPreparations.remove());
        return nextPreparation();
    }

    private StoreAction swapHead() {
        mState = State.SWAP_HEAD;
        ChangeRecord record = mRequest.toRecord(mHead.number() + 1);
        return new StoreAction.Swap(StoreKey.HEAD, mHead.append(record, mRingCapacity), mHeadIndex);
    }

    /**
     * Handles the result of the head swap. A swap without a known outcome is repeated while the
     * head has the same index; once the head has another index, a delayed swap can't take effect.
     */
    private StoreAction onHeadSwapped(SwapOutcome outcome) {
        return switch (outcome) {
            case SWAPPED -> new StoreAction.Finish(new AcceptOutcome.Accepted(mHead.number() + 1));
            case CONFLICT -> retryAfterConflict().orElseGet(this::readHead);
            case UNKNOWN -> {
                mUnconfirmed = Optional.of(handle());
                yield retryAfterFailure().orElseGet(this::readHead);
            }
            case NOT_WRITTEN -> retryAfterFailure().orElseGet(this::readHead);
        };
    }

    private Optional<StoreAction> retryAfterFailure() {
        mFailures++;
        return mFailures < MAX_FAILURES
                ? Optional.empty()
                : Optional.of(giveUp("The store did not respond; nothing was accepted."));
    }

    private Optional<StoreAction> retryAfterConflict() {
        mConflicts++;
        return mConflicts < MAX_CONFLICTS
                ? Optional.empty()
                : Optional.of(giveUp("Other changes were accepted first each time; retry."));
    }

    private StoreAction giveUp(String reason) {
        AcceptOutcome outcome =
                mUnconfirmed
                        .<AcceptOutcome>map(AcceptOutcome.Unknown::new)
                        .orElse(new AcceptOutcome.NotAccepted(reason));
        return new StoreAction.Finish(outcome);
    }
}
