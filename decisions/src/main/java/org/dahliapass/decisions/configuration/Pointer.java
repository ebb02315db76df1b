package org.dahliapass.decisions.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A customer's changes that were evicted from the ring of the {@link Head}.
 *
 * @param newest the newest of them
 * @param operations the last {@link #MAX_OPERATIONS} accept operations, by ascending number
 */
public record Pointer(ChangeRecord newest, List<PastOperation> operations)
        implements MergeableItem {
    /** Maximum number of accept operations that are kept. */
    public static final int MAX_OPERATIONS = 32;

    /** Creates a pointer with a copy of the list. */
    public Pointer {
        operations = List.copyOf(operations);
    }

    /** Returns a pointer with one change. */
    public static Pointer of(ChangeRecord record) {
        return new Pointer(
                record, List.of(new PastOperation(record.operationId(), record.number())));
    }

    /** Returns the number of an operation's change if it is still known. */
    public Optional<Long> numberOf(String operationId) {
        return operations.stream()
                .filter(operation -> operation.operationId().equals(operationId))
                .map(PastOperation::number)
                .findFirst();
    }

    /** Returns whether an operation with this number may have been evicted. */
    public boolean mayHaveEvicted(long number) {
        return operations.size() >= MAX_OPERATIONS && operations.get(0).number() > number;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Keeps the change with the higher number, so that a slow writer can't replace a newer
     * change by an older one.
     */
    @Override
    public Pointer mergedWith(Optional<StoreItem> current) {
        if (current.isEmpty()) {
            return this;
        }
        if (!(current.get() instanceof Pointer other)) {
            throw new IllegalArgumentException("The key of a pointer has a value of another type.");
        }
        List<PastOperation> all =
                Stream.concat(other.operations.stream(), operations.stream())
                        .distinct()
                        .sorted(Comparator.comparingLong(PastOperation::number))
                        .toList();
        ChangeRecord newer = newest.number() > other.newest.number() ? newest : other.newest;
        return new Pointer(
                newer, all.subList(Math.max(0, all.size() - MAX_OPERATIONS), all.size()));
    }
}
