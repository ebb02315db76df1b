package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The fleet-wide order's end: one value, whose compare-and-swap is the accept.
 *
 * @param number the number of the newest change; 0 before the first
 * @param ring the newest changes, by growing number, without gaps
 */
public record Head(long number, List<ChangeRecord> ring) implements StoreItem {
    /** The head before the first change. */
    public static final Head EMPTY = new Head(0, List.of());

    /** How many changes the ring holds in the field. */
    public static final int RING_CAPACITY = 256;

    /** Copies the list. */
    public Head {
        ring = List.copyOf(ring);
    }

    /** Returns the customer's newest change that the ring holds. */
    public Optional<ChangeRecord> newestOf(String customer) {
        return ring.stream()
                .filter(record -> record.customer().equals(customer))
                .reduce((earlier, later) -> later);
    }

    /** Returns the change that this operation accepted if the ring holds it. */
    public Optional<ChangeRecord> ofOperation(String operationId) {
        return ring.stream().filter(record -> record.operationId().equals(operationId)).findFirst();
    }

    /** Returns the changes that leave the ring when one more is added. */
    public List<ChangeRecord> evictedByNext(int capacity) {
        return ring.subList(0, Math.max(0, ring.size() + 1 - capacity));
    }

    /** Returns the head with one more change. */
    public Head with(ChangeRecord record, int capacity) {
        List<ChangeRecord> next = new ArrayList<>(ring);
        next.add(record);
        return new Head(
                record.number(), next.subList(Math.max(0, next.size() - capacity), next.size()));
    }

    /** Returns the lowest number from which on the ring holds every change. */
    public long firstNumber() {
        return ring.isEmpty() ? number + 1 : ring.get(0).number();
    }
}
