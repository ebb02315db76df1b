package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** The first step of a VM for a request with an idempotency key. */
public sealed interface BeginResult {

    /**
     * Send the intent to the witness, and report its reply or the timeout to the ledger.
     *
     * @param witness the VM incarnation to send it to
     */
    record SendIntent(VmIdentity witness) implements BeginResult {}

    /**
     * Continue with the {@link Resolver}, because this VM isn't the key's home.
     *
     * @param home the VM incarnation that the key names as its home
     */
    record WrongHome(VmIdentity home) implements BeginResult {}

    /**
     * Answer the caller without a dispatch.
     *
     * @param answer the answer for the caller
     */
    record Answered(OperationAnswer answer) implements BeginResult {}
}
