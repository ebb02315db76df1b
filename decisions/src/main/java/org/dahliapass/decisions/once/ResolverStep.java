package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** The next step in resolving a key whose home is another VM. */
public sealed interface ResolverStep {

    /**
     * Forward the request or query to the key's home, and report its answer or that it is
     * unavailable.
     *
     * @param home the VM incarnation to send it to
     */
    record ForwardToHome(VmIdentity home) implements ResolverStep {}

    /**
     * Query the key's witness for the outcome, and report its answer or that it is unavailable.
     *
     * @param witness the VM incarnation to query
     */
    record QueryWitness(VmIdentity witness) implements ResolverStep {}

    /**
     * Answer the caller.
     *
     * @param answer the answer for the caller
     */
    record Answer(OperationAnswer answer) implements ResolverStep {}
}
