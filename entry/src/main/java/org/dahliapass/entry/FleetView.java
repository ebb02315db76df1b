package org.dahliapass.entry;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * An immutable snapshot of the fleet in this VM's view, read by traffic threads.
 *
 * @param self this VM
 * @param members the alive VMs, including this one unless it is leaving
 * @param all all VMs that are not dead, for operators
 */
public record FleetView(Vm self, List<Vm> members, List<FleetMember> all) {

    /** Creates a snapshot from copies of the lists. */
    public FleetView {
        members = List.copyOf(members);
        all = List.copyOf(all);
    }

    /** Returns the VM with this identity, or empty if it is unknown or dead. */
    public Optional<Vm> find(VmIdentity identity) {
        return all.stream()
                .map(FleetMember::vm)
                .filter(vm -> vm.identity().equals(identity))
                .findFirst();
    }
}
