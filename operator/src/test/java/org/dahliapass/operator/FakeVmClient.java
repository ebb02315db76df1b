package org.dahliapass.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** A {@link VmClient} with preset responses; calls to VMs without one fail. */
final class FakeVmClient implements VmClient {
    final List<Member> mMembers = new ArrayList<>();
    final Map<Endpoint, TemplateStatus> mTemplates = new TreeMap<>();
    final Map<Endpoint, List<Explanation>> mExplanations = new TreeMap<>();

    @Override
    public CompletableFuture<String> status(Endpoint vm) {
        return CompletableFuture.completedFuture("serving");
    }

    @Override
    public CompletableFuture<List<Member>> members(Endpoint vm) {
        return CompletableFuture.completedFuture(mMembers);
    }

    @Override
    public CompletableFuture<TemplateStatus> template(Endpoint vm, String customer) {
        return respond(vm, mTemplates);
    }

    @Override
    public CompletableFuture<List<Explanation>> explanations(Endpoint vm, ExplanationQuery query) {
        return respond(vm, mExplanations);
    }

    @Override
    public CompletableFuture<Void> drain(Endpoint vm) {
        return CompletableFuture.completedFuture(null);
    }

    private static <T> CompletableFuture<T> respond(Endpoint vm, Map<Endpoint, T> responses) {
        return responses.containsKey(vm)
                ? CompletableFuture.completedFuture(responses.get(vm))
                : CompletableFuture.failedFuture(
                        new OperationException("call", vm.toString(), "No response."));
    }
}
