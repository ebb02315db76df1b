package org.dahliapass.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** A table of VM registrations whose changes become visible after a delay. Thread-safe. */
final class VmListTable {
    private record Change(String id, Optional<VmRegistration> vm, long visibleAtMillis) {}

    private final TreeMap<String, VmRegistration> mVisible = new TreeMap<>();
    private final Deque<Change> mPending = new ArrayDeque<>();
    private long mIndex = 1;

    synchronized void register(VmRegistration vm, long visibleAtMillis) {
        mPending.add(new Change(vm.id(), Optional.of(vm), visibleAtMillis));
    }

    synchronized void deregister(String id, long visibleAtMillis) {
        mPending.add(new Change(id, Optional.empty(), visibleAtMillis));
    }

    synchronized List<VmRegistration> visible(String name, long nowMillis) {
        applyDueChanges(nowMillis);
        return mVisible.values().stream().filter(vm -> vm.name().equals(name)).toList();
    }

    synchronized long index(long nowMillis) {
        applyDueChanges(nowMillis);
        return mIndex;
    }

    /** Applies due changes in arrival order, even if a later change has a shorter lag. */
    private void applyDueChanges(long nowMillis) {
        while (!mPending.isEmpty() && mPending.peek().visibleAtMillis() <= nowMillis) {
            Change change = mPending.remove();
            mIndex++;
            change.vm()
                    .ifPresentOrElse(
                            vm -> mVisible.put(change.id(), vm),
                            () -> mVisible.remove(change.id()));
        }
    }
}
