package org.dahliapass.decisions.routing;

import org.dahliapass.model.routing.FleetVm;

/** The source that a VM reads configuration changes from. */
public sealed interface ChangeSource {
    /** The store itself. */
    record Store() implements ChangeSource {}

    /**
     * Another VM, which watches the store.
     *
     * @param watchMillis how long the VM may wait for a change, in milliseconds
     */
    record Vm(FleetVm vm, long watchMillis) implements ChangeSource {}

    /**
     * No source is available at present.
     *
     * @param delayMillis the time until the next selection, in milliseconds
     */
    record RetryLater(long delayMillis) implements ChangeSource {}
}
