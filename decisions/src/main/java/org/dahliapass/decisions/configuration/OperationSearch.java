package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** Looks for an accept in what was read of the store: the head first, then the pointer. */
final class OperationSearch {
    private OperationSearch() {}

    /** Returns the number that the operation's change got, if it is found. */
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

    /** Returns the pointer that a read answered. */
    static Optional<Pointer> pointer(Optional<StoreItem> item) {
        return item.map(Pointer.class::cast);
    }

    /** Returns the head that a read answered. */
    static Head head(Optional<StoreItem> item) {
        return item.map(Head.class::cast).orElse(Head.EMPTY);
    }
}
