package org.dahliapass.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;

/**
 * A client for the VMs' operators' addresses.
 *
 * <p>All futures fail with a {@link org.dahliapass.kernel.OperationException}.
 */
public interface VmClient {

    /** Returns the VM's status as formatted JSON. */
    CompletableFuture<String> status(Endpoint vm);

    /** Returns the VM's member list, including the VM itself. */
    CompletableFuture<List<Member>> members(Endpoint vm);

    /** Returns the status of a customer's template on the VM. */
    CompletableFuture<TemplateStatus> template(Endpoint vm, String customer);

    /** Returns the matching explanations that the VM retains. */
    CompletableFuture<List<Explanation>> explanations(Endpoint vm, ExplanationQuery query);

    /** Starts a graceful shutdown of the VM. */
    CompletableFuture<Void> drain(Endpoint vm);
}
