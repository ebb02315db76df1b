package org.dahliapass.decisions.reachability;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.model.routing.FleetVm;

/**
 * Selects the VM that serves a request on behalf of this one, which reaches no target.
 *
 * <p>Not thread-safe; confined to the traffic thread. Holds the VMs that were unavailable in the
 * last second.
 */
public final class RelaySelector {
    /** Longer than a VM takes to tell the others that it reaches no target. */
    private static final long UNAVAILABLE_MILLIS = 1_000;

    private final String mSelf;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mUnavailableUntilMillis = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param self this VM's name
     * @param random selects among the VMs
     */
    public RelaySelector(String self, RandomGenerator random) {
        mSelf = self;
        mRandom = random;
    }

    /**
     * Selects a VM at random among those that serve callers, and among all if none of these is
     * available.
     *
     * @param serving the VMs that serve callers, which know the targets best
     * @param all all VMs of the fleet
     * @param tried the names of the VMs that the request was sent to before
     * @return the VM; empty if none is available
     */
    public Optional<FleetVm> select(
            Collection<FleetVm> serving,
            Collection<FleetVm> all,
            Set<String> tried,
            long nowMillis) {
        mUnavailableUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        Optional<FleetVm> selected = selectAmong(serving, tried);
        return selected.isPresent() ? selected : selectAmong(all, tried);
    }

    private Optional<FleetVm> selectAmong(Collection<FleetVm> vms, Set<String> tried) {
        List<FleetVm> available =
                vms.stream()
                        .filter(vm -> vm.reachesTargets() && !vm.name().equals(mSelf))
                        .filter(vm -> !tried.contains(vm.name()))
                        .filter(vm -> !mUnavailableUntilMillis.containsKey(vm.name()))
                        .toList();
        return available.isEmpty()
                ? Optional.empty()
                : Optional.of(available.get(mRandom.nextInt(available.size())));
    }

    /** Records that a VM could not be reached, or said that it reaches no target. */
    public void onUnavailable(String vm, long nowMillis) {
        mUnavailableUntilMillis.put(vm, nowMillis + UNAVAILABLE_MILLIS);
    }
}
