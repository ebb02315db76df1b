package org.dahliapass.decisions.routing;

import org.dahliapass.model.routing.FleetVm;

/** The source that a VM reads configuration changes from. */
public sealed interface ChangeSource {
    /** The store itself. */
    record Store() implements ChangeSource {}

    /** Another VM, which watches the store. */
    record Vm(FleetVm vm) implements ChangeSource {}

    /**
     * No source is available at present.
     *
     * @param delayMillis the time until the next selection, in milliseconds
     */
    record RetryLater(long delayMillis) implements ChangeSource {}
}
