package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/** What a VM does next for a key whose home is another VM. */
public sealed interface ResolverStep {

    /**
     * Forward the request or the question to the key's home, and report its answer or silence.
     *
     * @param home where to send it
     */
    record ForwardToHome(VmIdentity home) implements ResolverStep {}

    /**
     * Ask the key's witness what became of it, and report its answer or silence.
     *
     * @param witness where to ask
     */
    record QueryWitness(VmIdentity witness) implements ResolverStep {}

    /**
     * Answer the caller.
     *
     * @param answer what to say
     */
    record Answer(OperationAnswer answer) implements ResolverStep {}
}
