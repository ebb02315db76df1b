package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dahliapass.model.ServiceId;

/**
 * The newest change of each customer that provides a service or references one that this VM serves.
 */
final class KnownCustomers {
    private final FollowerPeers mPeers;
    private final Map<String, ChangeRecord> mNewest = new HashMap<>();
    private Map<ServiceId, Integer> mCellSizes = Map.of();

    KnownCustomers(FollowerPeers peers) {
        mPeers = peers;
    }

    int size() {
        return mNewest.size();
    }

    Map<ServiceId, Integer> cellSizes() {
        return mCellSizes;
    }

    boolean isNewer(ChangeRecord record) {
        ChangeRecord current = mNewest.get(record.customer());
        return current == null || record.number() > current.number();
    }

    boolean isServed(ChangeRecord record) {
        return record.services().stream().anyMatch(use -> mPeers.serves(use.service()));
    }

    /** Stores a change if it is needed; returns whether the service directory changed. */
    boolean put(ChangeRecord record) {
        boolean needed = record.provides() || isServed(record);
        String customer = record.customer();
        ChangeRecord before = needed ? mNewest.put(customer, record) : mNewest.remove(customer);
        boolean wasProvider = before != null && before.provides();
        return (wasProvider || record.provides()) && refreshCellSizes();
    }

    List<ChangeRecord> of(CustomerGroup group) {
        return mNewest.values().stream().filter(group::contains).toList();
    }

    List<ChangeRecord> providers() {
        return of(CustomerGroup.PROVIDERS);
    }

    /** Removes and returns the changes that this VM no longer needs. */
    List<ChangeRecord> removeUnneeded() {
        return removeIf(record -> !record.provides() && !isServed(record));
    }

    /** Removes and returns the changes of customers that left the group before the window. */
    List<ChangeRecord> removeMissing(GroupSnapshot snapshot, long through, long windowFirst) {
        Set<String> listed = new HashSet<>();
        snapshot.newest().forEach(record -> listed.add(record.customer()));
        List<ChangeRecord> removed =
                removeIf(
                        record ->
                                record.number() <= through
                                        && record.number() < windowFirst
                                        && snapshot.group().contains(record)
                                        && !listed.contains(record.customer()));
        refreshCellSizes();
        return removed;
    }

    private List<ChangeRecord> removeIf(Predicate<ChangeRecord> unneeded) {
        List<ChangeRecord> removed = new ArrayList<>(mNewest.values());
        removed.removeIf(unneeded.negate());
        removed.forEach(record -> mNewest.remove(record.customer()));
        return removed;
    }

    private boolean refreshCellSizes() {
        Map<ServiceId, Integer> sizes = new HashMap<>();
        for (ChangeRecord record : providers()) {
            for (ServiceUse use : record.services()) {
                if (use.service().provider().equals(record.customer())) {
                    sizes.put(use.service(), use.cellSize());
                }
            }
        }
        boolean changed = !sizes.equals(mCellSizes);
        mCellSizes = Map.copyOf(sizes);
        return changed;
    }
}
