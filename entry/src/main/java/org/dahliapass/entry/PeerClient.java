package org.dahliapass.entry;

import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.model.VmIdentity;

/** What a VM asks of another VM about guarded operations. All futures fail without a word. */
interface PeerClient {
    /**
     * A peer's word on an operation.
     *
     * @param from the life of the peer that answered
     * @param answer what it says
     */
    record ResolveReply(VmIdentity from, OperationAnswer answer) {}

    /** Asks the witness to record an intent. */
    CompletableFuture<IntentReply> recordIntent(VmIdentity witness, Operation operation);

    /** Tells the witness how an operation ended. */
    CompletableFuture<Void> recordOutcome(VmIdentity witness, OutcomeNotice notice);

    /** Asks a peer what became of an operation. */
    CompletableFuture<ResolveReply> resolve(VmIdentity peer, Operation operation);
}
