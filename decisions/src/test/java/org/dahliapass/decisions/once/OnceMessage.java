package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** What one VM, or a target, says to a VM in a schedule. */
@FunctionalInterface
interface OnceMessage {

    /** Reaches whichever life of the addressed VM is there now. */
    void reach(SimulatedVm receiver, VmIdentity from, long nowMillis);

    /** A message under way; targets answer in the name of the VM that asked them. */
    record Envelope(VmIdentity from, String to, OnceMessage message) {}
}
