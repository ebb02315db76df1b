package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** A message from a VM or a target to a VM in a schedule. */
@FunctionalInterface
interface OnceMessage {

    /** Delivers the message to the current incarnation of the addressed VM. */
    void deliver(SimulatedVm receiver, VmIdentity from, long nowMillis);

    /** A message in transit; the response of a target has the dispatching VM as its sender. */
    record Envelope(VmIdentity from, String to, OnceMessage message) {}
}
