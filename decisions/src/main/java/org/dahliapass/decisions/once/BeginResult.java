package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** What a VM does first with a guarded request that has arrived. */
public sealed interface BeginResult {

    /**
     * Send the intent to the witness, and report its reply or its silence to the ledger.
     *
     * @param witness where to send it
     */
    record SendIntent(VmIdentity witness) implements BeginResult {}

    /**
     * This VM isn't the key's home; the {@link Resolver} goes on.
     *
     * @param home the VM incarnation that the key names
     */
    record WrongHome(VmIdentity home) implements BeginResult {}

    /**
     * Answer the caller; nothing is to be dispatched for this request.
     *
     * @param answer what to say
     */
    record Answered(OperationAnswer answer) implements BeginResult {}
}
