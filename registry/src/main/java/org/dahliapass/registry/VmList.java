package org.dahliapass.registry;

import java.util.List;

/**
 * One answer of the VM list.
 *
 * @param vms the VMs
 * @param index the index to hand to the next blocking read
 */
public record VmList(List<ListedVm> vms, long index) {

    /** Copies the list. */
    public VmList {
        vms = List.copyOf(vms);
    }
}
