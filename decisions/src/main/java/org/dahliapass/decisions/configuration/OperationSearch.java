package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** Finds an accept operation in the head or, if it was evicted, in the pointer. */
final class OperationSearch {
    private OperationSearch() {}

    /** Returns the number of the operation's change if it is found. */
    static Optional<Long> numberOf(String operationId, Head head, Optional<Pointer> pointer) {
        return head.findByOperation(operationId)
                .map(ChangeRecord::number)
                .or(() -> pointer.flatMap(found -> found.numberOf(operationId)));
    }

    /** Returns the customer's newest change. */
    static Optional<ChangeRecord> newestOf(String customer, Head head, Optional<Pointer> pointer) {
        Optional<ChangeRecord> inRing = head.newestOf(customer);
        return inRing.isPresent() ? inRing : pointer.map(Pointer::newest);
    }

    /** Returns the pointer from the result of a read. */
    static Optional<Pointer> pointer(Optional<StoreItem> item) {
        return item.map(Pointer.class::cast);
    }

    /** Returns the head from the result of a read. */
    static Head head(Optional<StoreItem> item) {
        return item.map(Head.class::cast).orElse(Head.EMPTY);
    }
}
