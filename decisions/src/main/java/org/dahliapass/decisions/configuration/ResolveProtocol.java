package org.dahliapass.decisions.configuration;

import java.util.Optional;

/**
 * Finds out whether an accept took effect whose outcome was unknown, and if not, makes sure that it
 * never will.
 */
public final class ResolveProtocol implements StoreProtocol {
    private final OperationHandle mHandle;
    private boolean mPointerAsked;
    private Head mHead = Head.EMPTY;
    private int mFailures;

    /** Creates the machine that resolves one accept. */
    public ResolveProtocol(OperationHandle handle) {
        mHandle = handle;
    }

    @Override
    public StoreAction start() {
        mPointerAsked = false;
        return new StoreAction.Read(StoreKey.HEAD);
    }

    @Override
    public StoreAction onRead(Optional<StoreItem> item, long index) {
        return mPointerAsked
                ? decide(OperationSearch.pointer(item))
                : onHead(OperationSearch.head(item), index);
    }

    @Override
    public StoreAction onReadFailed() {
        return startAgain();
    }

    @Override
    public StoreAction onSwap(SwapOutcome answer) {
        return answer == SwapOutcome.SWAPPED ? start() : startAgain();
    }

    /**
     * Guards against the lost swap being still on its way: "not accepted" would then be said of a
     * change that comes into force later. It holds because the head is written again unchanged,
     * which moves its index on, so that the late swap finds another index than it names.
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
        mPointerAsked = true;
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
                new AcceptOutcome.NotAccepted("It isn't in the order and can't get there."));
    }

    private StoreAction startAgain() {
        mFailures++;
        return mFailures < AcceptProtocol.MAX_FAILURES
                ? start()
                : new StoreAction.Finish(new AcceptOutcome.Unknown(mHandle));
    }
}
