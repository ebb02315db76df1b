package org.dahliapass.decisions.routing;

import org.dahliapass.model.routing.FleetVm;

/** From where a VM hears of changes next. */
public sealed interface ChangeSource {
    /** The store itself. */
    record Store() implements ChangeSource {}

    /**
     * Another VM, which watches the store.
     *
     * @param vm the VM
     */
    record Vm(FleetVm vm) implements ChangeSource {}

    /**
     * Nobody yet: to be asked again.
     *
     * @param delayMillis after this time, in milliseconds
     */
    record RetryLater(long delayMillis) implements ChangeSource {}
}
