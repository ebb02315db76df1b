package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The head of the fleet-wide log of changes; a change is accepted by compare-and-swap of this
 * value.
 *
 * @param number the number of the newest change; 0 before the first
 * @param ring the newest changes by ascending number, without gaps
 */
public record Head(long number, List<ChangeRecord> ring) implements StoreItem {
    /** The head before the first change. */
    public static final Head EMPTY = new Head(0, List.of());

    /** The capacity of the ring in production. */
    public static final int RING_CAPACITY = 256;

    /** Maximum number of service uses in the ring, because the size of a store value is limited. */
    static final int MAX_SERVICE_USES = 4096;

    /** Creates a head with a copy of the list. */
    public Head {
        ring = List.copyOf(ring);
    }

    /** Returns the customer's newest change in the ring. */
    public Optional<ChangeRecord> newestOf(String customer) {
        return ring.stream()
                .filter(record -> record.customer().equals(customer))
                .reduce((earlier, later) -> later);
    }

    /** Returns the change of an accept operation if it is in the ring. */
    public Optional<ChangeRecord> findByOperation(String operationId) {
        return ring.stream().filter(record -> record.operationId().equals(operationId)).findFirst();
    }

    /** Returns the changes that are evicted from the ring when a change is appended. */
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

    /** Returns a head with one more change. */
    public Head append(ChangeRecord record, int capacity) {
        int evicted = evictedBy(record, capacity).size();
        List<ChangeRecord> next = new ArrayList<>(ring.subList(evicted, ring.size()));
        next.add(record);
        return new Head(record.number(), next);
    }

    private static int usesOf(List<ChangeRecord> records) {
        return records.stream().mapToInt(record -> record.services().size()).sum();
    }

    /** Returns the lowest number from which the ring has every change. */
    public long firstNumber() {
        return ring.isEmpty() ? number + 1 : ring.get(0).number();
    }
}
