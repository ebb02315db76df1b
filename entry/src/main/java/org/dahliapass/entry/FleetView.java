package org.dahliapass.entry;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * An immutable snapshot of the fleet as this VM sees it, which traffic threads read.
 *
 * @param self this VM
 * @param members all VMs that take requests, this one included unless it is leaving
 * @param all all VMs that aren't dead, for operators
 */
public record FleetView(Vm self, List<Vm> members, List<FleetMember> all) {

    /** Copies the lists. */
    public FleetView {
        members = List.copyOf(members);
        all = List.copyOf(all);
    }

    /** Finds a life of a VM that isn't known to be dead. */
    public Optional<Vm> find(VmIdentity identity) {
        return all.stream()
                .map(FleetMember::vm)
                .filter(vm -> vm.identity().equals(identity))
                .findFirst();
    }
}
