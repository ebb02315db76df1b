package org.dahliapass.decisions.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Accepts one change into the fleet-wide order, or tells why it isn't there.
 *
 * <p>Reads the head, checks that the author started from the customer's newest change, writes the
 * text, the indexes and the pointers of changes that leave the ring, then swaps the head. Only that
 * last swap is the accept; whatever a writer that dies earlier leaves behind is true or harmless.
 */
public class AcceptProtocol implements StoreProtocol {
    /** Calls without an answer after which this gives up. */
    static final int MAX_FAILURES = 8;

    /** Times that others may come first before this gives up. */
    static final int MAX_CONFLICTS = 200;

    private enum Step {
        READ_HEAD,
        READ_POINTER,
        PREPARE,
        SWAP_HEAD
    }

    /** A value that must stand in the store before the head may be swapped. */
    record Preparation(StoreKey key, MergeableItem item) {}

    private final AcceptRequest mRequest;
    private final int mRingCapacity;
    private final Set<Preparation> mPrepared = new HashSet<>();
    private Deque<Preparation> mToPrepare = new ArrayDeque<>();
    private Step mStep = Step.READ_HEAD;
    private Head mHead = Head.EMPTY;
    private long mHeadIndex;
    private Optional<OperationHandle> mPending = Optional.empty();
    private int mFailures;
    private int mRounds;

    /**
     * Creates the machine of one accept.
     *
     * @param ringCapacity how many changes the head keeps; {@link Head#RING_CAPACITY} in the field
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
        return switch (mStep) {
            case READ_HEAD -> onHead(OperationSearch.head(item), index);
            case READ_POINTER -> decide(OperationSearch.pointer(item));
            case PREPARE -> swapPrepared(item, index);
            case SWAP_HEAD -> throw new IllegalStateException("No read was asked for.");
        };
    }

    @Override
    public final StoreAction onReadFailed() {
        return fail().orElseGet(this::repeatRead);
    }

    @Override
    public final StoreAction onSwap(SwapOutcome answer) {
        return mStep == Step.SWAP_HEAD ? onHeadSwapped(answer) : onPrepared(answer);
    }

    /** Returns the handle of the head swap that is under way or may have taken effect. */
    public final OperationHandle handle() {
        return new OperationHandle(
                mRequest.operationId(), mRequest.customer(), mHeadIndex, mHead.number() + 1);
    }

    /**
     * Returns what must stand in the store before the head is swapped, in this order.
     *
     * <p>Guards against a writer that dies after its accept: a change that it pushed out of the
     * ring would be found nowhere, which would show as a template that reverts on new VMs. It holds
     * because the pointer is written while the change is still in the ring.
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
        mStep = Step.READ_HEAD;
        return new StoreAction.Read(StoreKey.HEAD);
    }

    private StoreAction repeatRead() {
        return switch (mStep) {
            case READ_POINTER -> new StoreAction.Read(StoreKey.pointer(mRequest.customer()));
            case PREPARE -> new StoreAction.Read(mToPrepare.element().key());
            case READ_HEAD, SWAP_HEAD -> readHead();
        };
    }

    private StoreAction onHead(Head head, long index) {
        mHead = head;
        mHeadIndex = index;
        if (mPending.isEmpty() && head.newestOf(mRequest.customer()).isPresent()) {
            return decide(Optional.empty());
        }
        mStep = Step.READ_POINTER;
        return repeatRead();
    }

    private StoreAction decide(Optional<Pointer> pointer) {
        Optional<Long> number = OperationSearch.numberOf(mRequest.operationId(), mHead, pointer);
        if (number.isPresent()) {
            return new StoreAction.Finish(new AcceptOutcome.Accepted(number.get()));
        }
        if (mPending.isPresent() && mPending.get().headIndex() == mHeadIndex) {
            return swapHead();
        }
        if (mPending.isPresent() && mayHaveForgotten(pointer)) {
            return new StoreAction.Finish(new AcceptOutcome.Unknown(mPending.get()));
        }
        mPending = Optional.empty();
        Optional<ChangeRecord> newest =
                OperationSearch.newestOf(mRequest.customer(), mHead, pointer);
        if (newest.map(ChangeRecord::number).orElse(0L) != mRequest.baseNumber()) {
            return new StoreAction.Finish(new AcceptOutcome.Conflict(newest));
        }
        return prepare();
    }

    private boolean mayHaveForgotten(Optional<Pointer> pointer) {
        return pointer.isPresent() && pointer.get().mayHaveEvicted(mPending.get().number());
    }

    private StoreAction prepare() {
        mToPrepare = new ArrayDeque<>(preparations(mHead, mRingCapacity));
        mToPrepare.removeAll(mPrepared);
        return nextPreparation();
    }

    private StoreAction nextPreparation() {
        if (mToPrepare.isEmpty()) {
            return swapHead();
        }
        mStep = Step.PREPARE;
        return repeatRead();
    }

    private StoreAction swapPrepared(Optional<StoreItem> standing, long index) {
        Preparation preparation = mToPrepare.element();
        MergeableItem merged = preparation.item().mergedWith(standing);
        if (standing.isPresent() && standing.get().equals(merged)) {
            return preparationDone();
        }
        return new StoreAction.Swap(preparation.key(), merged, index);
    }

    private StoreAction onPrepared(SwapOutcome answer) {
        return switch (answer) {
            case SWAPPED -> preparationDone();
            case CONFLICT -> anotherRound().orElseGet(this::repeatRead);
            case UNKNOWN, NOT_WRITTEN -> fail().orElseGet(this::repeatRead);
        };
    }

    private StoreAction preparationDone() {
        mPrepared.add(mToPrepare.remove());
        return nextPreparation();
    }

    private StoreAction swapHead() {
        mStep = Step.SWAP_HEAD;
        ChangeRecord record = mRequest.toRecord(mHead.number() + 1);
        return new StoreAction.Swap(StoreKey.HEAD, mHead.append(record, mRingCapacity), mHeadIndex);
    }

    /**
     * Guards against a head swap whose answer is lost, or that is delayed in the network and takes
     * effect after this machine has looked for it: a wrong "not accepted" would make the operator
     * accept the change twice. It holds because the swap names the head's index: while the head
     * still has that index the swap is only repeated, and once the head has another one the late
     * swap can't take effect any more.
     */
    private StoreAction onHeadSwapped(SwapOutcome answer) {
        return switch (answer) {
            case SWAPPED -> new StoreAction.Finish(new AcceptOutcome.Accepted(mHead.number() + 1));
            case CONFLICT -> anotherRound().orElseGet(this::readHead);
            case UNKNOWN -> {
                mPending = Optional.of(handle());
                yield fail().orElseGet(this::readHead);
            }
            case NOT_WRITTEN -> fail().orElseGet(this::readHead);
        };
    }

    private Optional<StoreAction> fail() {
        mFailures++;
        return mFailures < MAX_FAILURES
                ? Optional.empty()
                : Optional.of(giveUp("The store gave no answer; nothing was accepted."));
    }

    private Optional<StoreAction> anotherRound() {
        mRounds++;
        return mRounds < MAX_CONFLICTS
                ? Optional.empty()
                : Optional.of(giveUp("Other changes came first each time; accept it again."));
    }

    private StoreAction giveUp(String reason) {
        AcceptOutcome outcome =
                mPending.<AcceptOutcome>map(AcceptOutcome.Unknown::new)
                        .orElse(new AcceptOutcome.NotAccepted(reason));
        return new StoreAction.Finish(outcome);
    }
}
