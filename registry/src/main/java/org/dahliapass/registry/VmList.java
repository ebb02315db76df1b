package org.dahliapass.registry;

import java.util.List;

/**
 * The result of a blocking read of the VM list.
 *
 * @param vms the VMs
 * @param index the index for the next blocking read
 */
public record VmList(List<ListedVm> vms, long index) {

    /** Copies the list. */
    public VmList {
        vms = List.copyOf(vms);
    }
}
