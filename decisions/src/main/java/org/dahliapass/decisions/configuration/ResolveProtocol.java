package org.dahliapass.decisions.configuration;

import java.util.Optional;

/**
 * The protocol that resolves an accept operation with an unknown outcome: returns whether it took
 * effect, and if it didn't, ensures that it never will.
 */
public final class ResolveProtocol implements StoreProtocol {
    private final OperationHandle mHandle;
    private boolean mReadingPointer;
    private Head mHead = Head.EMPTY;
    private int mFailures;

    /** Creates the protocol for one operation. */
    public ResolveProtocol(OperationHandle handle) {
        mHandle = handle;
    }

    @Override
    public StoreAction start() {
        mReadingPointer = false;
        return new StoreAction.Read(StoreKey.HEAD);
    }

    @Override
    public StoreAction onRead(Optional<StoreItem> item, long index) {
        return mReadingPointer
                ? decide(OperationSearch.pointer(item))
                : onHead(OperationSearch.head(item), index);
    }

    @Override
    public StoreAction onReadFailed() {
        return retry();
    }

    @Override
    public StoreAction onSwap(SwapOutcome outcome) {
        return outcome == SwapOutcome.SWAPPED ? start() : retry();
    }

    /**
     * Looks for the operation in the head. If the head still has the index that the unconfirmed
     * swap expects, rewrites the head unchanged, so that a delayed swap fails by the new index.
     */
    private StoreAction onHead(Head head, long index) {
        mHead = head;
        Optional<ChangeRecord> found = head.findByOperation(mHandle.operationId());
        if (found.isPresent()) {
            return new StoreAction.Finish(new AcceptOutcome.Accepted(found.get().number()));
        }
        if (index == mHandle.headIndex()) {
            return new StoreAction.Swap(StoreKey.HEAD, head, index);
        }
        mReadingPointer = true;
        return new StoreAction.Read(StoreKey.pointer(mHandle.customer()));
    }

    private StoreAction decide(Optional<Pointer> pointer) {
        Optional<Long> number = OperationSearch.numberOf(mHandle.operationId(), mHead, pointer);
        if (number.isPresent()) {
            return new StoreAction.Finish(new AcceptOutcome.Accepted(number.get()));
        }
        if (pointer.isPresent() && pointer.get().mayHaveEvicted(mHandle.number())) {
            return new StoreAction.Finish(new AcceptOutcome.Unknown(mHandle));
        }
        return new StoreAction.Finish(
                new AcceptOutcome.NotAccepted(
                        "The change is not in the log and can't be accepted any more."));
    }

    private StoreAction retry() {
        mFailures++;
        return mFailures < AcceptProtocol.MAX_FAILURES
                ? start()
                : new StoreAction.Finish(new AcceptOutcome.Unknown(mHandle));
    }
}
