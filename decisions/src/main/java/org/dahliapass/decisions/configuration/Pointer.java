package org.dahliapass.decisions.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What is known of a customer's changes that left the ring of the {@link Head}.
 *
 * @param newest the newest of them
 * @param operations the last {@link #MAX_OPERATIONS} accepts, by growing number
 */
public record Pointer(ChangeRecord newest, List<PastOperation> operations)
        implements MergeableItem {
    /** How many accepts of a customer can be looked up after they left the ring. */
    public static final int MAX_OPERATIONS = 32;

    /** Copies the list. */
    public Pointer {
        operations = List.copyOf(operations);
    }

    /** Returns the pointer that knows just this change. */
    public static Pointer of(ChangeRecord record) {
        return new Pointer(
                record, List.of(new PastOperation(record.operationId(), record.number())));
    }

    /** Returns the number that the accept of this operation got, if it is still known. */
    public Optional<Long> numberOf(String operationId) {
        return operations.stream()
                .filter(operation -> operation.operationId().equals(operationId))
                .map(PastOperation::number)
                .findFirst();
    }

    /** Returns whether an accept of this number may have been forgotten. */
    public boolean mayHaveEvicted(long number) {
        return operations.size() >= MAX_OPERATIONS && operations.get(0).number() > number;
    }

    /**
     * Merges so that the newest change stays the newest.
     *
     * <p>Guards against a slow writer that writes its older evicted record last, which would show
     * as a template that reverts. It holds because the merge takes the higher number.
     */
    @Override
    public Pointer mergedWith(Optional<StoreItem> standing) {
        if (standing.isEmpty()) {
            return this;
        }
        if (!(standing.get() instanceof Pointer other)) {
            throw new IllegalArgumentException("A pointer's key holds another kind of value.");
        }
        List<PastOperation> all =
                Stream.concat(other.operations.stream(), operations.stream())
                        .distinct()
                        .sorted(Comparator.comparingLong(PastOperation::number))
                        .toList();
        ChangeRecord higher = newest.number() > other.newest.number() ? newest : other.newest;
        return new Pointer(
                higher, all.subList(Math.max(0, all.size() - MAX_OPERATIONS), all.size()));
    }
}
