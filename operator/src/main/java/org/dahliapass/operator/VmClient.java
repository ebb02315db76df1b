package org.dahliapass.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;

/**
 * Asks VMs at their operators' address.
 *
 * <p>All futures fail with a {@link org.dahliapass.kernel.OperationException}.
 */
public interface VmClient {

    /** Returns the VM's own report as text. */
    CompletableFuture<String> status(Endpoint vm);

    /** Returns the VM's member list, the VM itself included. */
    CompletableFuture<List<Member>> members(Endpoint vm);

    /** Returns what the VM holds of a customer's template. */
    CompletableFuture<TemplateStatus> template(Endpoint vm, String customer);

    /** Returns the explanations that the VM still keeps. */
    CompletableFuture<List<Explanation>> explanations(Endpoint vm, ExplanationQuery query);

    /** Asks the VM to stop gracefully. */
    CompletableFuture<Void> drain(Endpoint vm);
}
