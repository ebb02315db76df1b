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

    /** How many services all changes of the ring may name: the store's values are bounded. */
    static final int MAX_SERVICE_USES = 4096;

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
    public Optional<ChangeRecord> findByOperation(String operationId) {
        return ring.stream().filter(record -> record.operationId().equals(operationId)).findFirst();
    }

    /** Returns the changes that leave the ring when this one is added. */
    public List<ChangeRecord> evictedBy(ChangeRecord record, int capacity) {
        int first = 0;
        int uses = record.services().size() + usesOf(ring);
        while (first < ring.size()
                && (ring.size() - first >= capacity || uses > MAX_SERVICE_USES)) {
            uses -= ring.get(first).services().size();
            first++;
        }
        return ring.subList(0, first);
    }

    /** Returns the head with one more change. */
    public Head append(ChangeRecord record, int capacity) {
        int evicted = evictedBy(record, capacity).size();
        List<ChangeRecord> next = new ArrayList<>(ring.subList(evicted, ring.size()));
        next.add(record);
        return new Head(record.number(), next);
    }

    private static int usesOf(List<ChangeRecord> records) {
        return records.stream().mapToInt(record -> record.services().size()).sum();
    }

    /** Returns the lowest number from which on the ring holds every change. */
    public long firstNumber() {
        return ring.isEmpty() ? number + 1 : ring.get(0).number();
    }
}
