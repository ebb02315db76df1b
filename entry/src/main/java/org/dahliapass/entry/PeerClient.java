package org.dahliapass.entry;

import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.model.VmIdentity;

/** The at-most-once protocol's client for other VMs. Futures fail if the peer does not reply. */
interface PeerClient {
    /**
     * A peer's reply about an operation.
     *
     * @param from the identity of the peer that replied
     * @param answer the peer's answer
     */
    record ResolveReply(VmIdentity from, OperationAnswer answer) {}

    /** Requests that the witness records an intent. */
    CompletableFuture<IntentReply> recordIntent(VmIdentity witness, Operation operation);

    /** Sends the outcome of an operation to the witness. */
    CompletableFuture<Void> recordOutcome(VmIdentity witness, OutcomeNotice notice);

    /** Queries a peer for the outcome of an operation. */
    CompletableFuture<ResolveReply> resolve(VmIdentity peer, Operation operation);
}
