package org.dahliapass.decisions.routing;

import org.dahliapass.model.routing.FleetVm;

/** From where a VM hears of changes next. */
public sealed interface Upstream {
    /** The store itself. */
    record Store() implements Upstream {}

    /**
     * Another VM, which watches the store.
     *
     * @param vm the VM
     */
    record Vm(FleetVm vm) implements Upstream {}

    /**
     * Nobody yet: to be asked again.
     *
     * @param millis after this time, in milliseconds
     */
    record Later(long millis) implements Upstream {}
}
