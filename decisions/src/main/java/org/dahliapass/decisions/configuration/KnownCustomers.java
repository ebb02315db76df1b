package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dahliapass.model.ServiceId;

/** The newest change of each customer that provides a service or uses one that this VM serves. */
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
        ChangeRecord standing = mNewest.get(record.customer());
        return standing == null || record.number() > standing.number();
    }

    boolean isServed(ChangeRecord record) {
        return record.services().stream().anyMatch(use -> mPeers.serves(use.service()));
    }

    /** Keeps a change if it is needed; returns whether the directory of services changed. */
    boolean put(ChangeRecord record) {
        boolean needed = record.provides() || isServed(record);
        String customer = record.customer();
        ChangeRecord before = needed ? mNewest.put(customer, record) : mNewest.remove(customer);
        boolean provided = before != null && before.provides();
        return (provided || record.provides()) && countCells();
    }

    List<ChangeRecord> of(CustomerGroup group) {
        return mNewest.values().stream().filter(group::contains).toList();
    }

    List<ChangeRecord> providers() {
        return of(CustomerGroup.PROVIDERS);
    }

    /** Lets go of the changes that this VM no longer needs, and returns them. */
    List<ChangeRecord> removeUnneeded() {
        return drop(record -> !record.provides() && !isServed(record));
    }

    /** Lets go of the group's customers that left it before the window began, and returns them. */
    List<ChangeRecord> removeMissing(GroupSnapshot fill, long through, long windowFirst) {
        Set<String> listed = new HashSet<>();
        fill.newest().forEach(record -> listed.add(record.customer()));
        List<ChangeRecord> gone =
                drop(
                        record ->
                                record.number() <= through
                                        && record.number() < windowFirst
                                        && fill.group().contains(record)
                                        && !listed.contains(record.customer()));
        countCells();
        return gone;
    }

    private List<ChangeRecord> drop(Predicate<ChangeRecord> unneeded) {
        List<ChangeRecord> gone = new ArrayList<>(mNewest.values());
        gone.removeIf(unneeded.negate());
        gone.forEach(record -> mNewest.remove(record.customer()));
        return gone;
    }

    private boolean countCells() {
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
