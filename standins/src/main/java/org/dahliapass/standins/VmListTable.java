package org.dahliapass.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The platform's VMs, as readers see them: each change becomes visible at its own time. */
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
        settle(nowMillis);
        return mVisible.values().stream().filter(vm -> vm.name().equals(name)).toList();
    }

    synchronized long index(long nowMillis) {
        settle(nowMillis);
        return mIndex;
    }

    /** Makes due changes visible, in the order in which they came also if the lag has shrunk. */
    private void settle(long nowMillis) {
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
